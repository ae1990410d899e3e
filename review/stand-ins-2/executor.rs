//! Executors: each runs tasks under leases, lists what runs and what ended, and can crash and return.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::deployment::free_address;
use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 100;
const TICK: Duration = Duration::from_millis(10);
const BEAT: Duration = Duration::from_millis(1_100);

/// What the `spec` of a task says, as `name=number` words.
#[derive(Clone, Debug, Default)]
pub struct Spec {
    pub work_ms: u64,
    pub cpu: u64,
    /// Whether the task lasts: only its first run ends by itself.
    pub lasts: bool,
    /// Whether each run of the task fails.
    pub fails: bool,
}

impl Spec {
    fn parse(text: &str) -> Self {
        let words: HashMap<&str, u64> = text
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        let number = |name| words.get(name).copied().unwrap_or(0);
        Self {
            work_ms: number("work"),
            cpu: number("cpu"),
            lasts: number("lasts") > 0,
            fails: number("fails") > 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    run: u32,
    spec: Spec,
    done_ms: u64,
    saved: String,
    stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    saved: String,
}

struct State {
    id: String,
    labels: Vec<String>,
    zone: String,
    cpu: u64,
    phase: String,
    is_up: bool,
    born: u64,
    since: Instant,
    fence: u64,
    lease_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    next_end: u64,
    /// The highest run of each task that was stopped or ended here.
    refused: HashMap<String, u32>,
    beats: u64,
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.since.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u32> {
        let run = self.runs.remove(task)?;
        self.refused.insert(task.to_owned(), run.run);
        self.next_end += 1;
        let number = self.next_end;
        self.ends.push(End {
            number,
            task: task.to_owned(),
            run: run.run,
            how,
            saved: run.saved,
        });
        Some(run.run)
    }
}

/// What an executor does with an order, for a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    Now,
    /// The order gets no answer and is carried out after this time.
    Late(Duration),
}

type Rule = Box<dyn Fn(&str, &str) -> Treatment + Send + Sync>;

/// One host with an executor, which may end and start again.
pub struct Executor {
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    address: Mutex<Option<SocketAddr>>,
    record: Record,
    store: Store,
    pub rule: Mutex<Option<Rule>>,
}

impl Executor {
    pub fn start(
        id: &str,
        zone: &str,
        labels: &[&str],
        cpu: u64,
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        let state = State {
            id: id.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            zone: zone.to_owned(),
            cpu,
            phase: "ready".to_owned(),
            is_up: false,
            born: 0,
            since: Instant::now(),
            fence: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 0,
            refused: HashMap::new(),
            beats: 0,
        };
        let executor = Arc::new(Self {
            state: Mutex::new(state),
            server: Mutex::new(None),
            address: Mutex::new(None),
            record: record.clone(),
            store: store.clone(),
            rule: Mutex::new(None),
        });
        executor.power_on();
        let (beating, ticking) = (Arc::clone(&executor), Arc::clone(&executor));
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.register();
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        executor
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Starts the process, under the same id and address as before.
    pub fn power_on(self: &Arc<Self>) {
        let address = self.address.lock().unwrap().unwrap_or_else(free_address);
        {
            let mut state = self.state.lock().unwrap();
            state.born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64;
            state.since = Instant::now();
            (state.fence, state.lease_ms, state.next_end, state.beats) = (0, 0, 0, 0);
            state.runs.clear();
            state.ends.clear();
            state.refused.clear();
            state.is_up = true;
        }
        let handling = Arc::clone(self);
        let server = Server::start(address, Arc::new(move |request| handling.handle(&request)))
            .expect("an executor listens");
        *self.address.lock().unwrap() = Some(server.address());
        *self.server.lock().unwrap() = Some(server);
        self.record.line(&format!("executor {} is up", self.id()));
        self.register();
    }

    pub fn set_phase(&self, phase: &str) {
        self.state.lock().unwrap().phase = phase.to_owned();
        self.record
            .line(&format!("executor {} reports {phase}", self.id()));
        self.register();
    }

    pub fn running(&self) -> Vec<(String, u32)> {
        let state = self.state.lock().unwrap();
        state
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect()
    }

    fn register(&self) {
        let Some(address) = *self.address.lock().unwrap() else {
            return;
        };
        let (id, entry) = {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.beats += 1;
            let labels: Vec<String> = state
                .labels
                .iter()
                .map(|label| format!("\"{label}\""))
                .collect();
            let remaining = if state.phase == "draining" {
                ",\"remainingMs\":4000"
            } else {
                ""
            };
            let entry = format!(
                r#"{{"service":"desk","address":"{address}","zone":"{}","version":"v1","slots":8,"state":"{}","coldLeftMs":0,"capacity":{{"cpu":{},"memMb":64000,"gpu":0}},"labels":[{}],"clockMs":{},"sequence":{},"born":{}{remaining}}}"#,
                state.zone,
                state.phase,
                state.cpu,
                labels.join(","),
                state.clock_ms(),
                state.beats,
                state.born
            );
            (state.id.clone(), entry)
        };
        self.store.put("keyed.servers", &id, &entry);
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Option<Response> {
        let id = self.id();
        if request
            .header("x-expect-executor")
            .is_some_and(|expected| expected != id)
        {
            return Some(Response::json(421, "{}"));
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let task = body.text("task").unwrap_or_default().to_owned();
        let rule = self.rule.lock().unwrap();
        let treatment = rule
            .as_ref()
            .map_or(Treatment::Now, |rule| rule(&request.path, &task));
        drop(rule);
        let path = request.path.clone();
        if let Treatment::Late(delay) = treatment {
            self.record.line(&format!(
                "executor {id} leaves {path} of {task} run {:?} unanswered",
                body.u64("run")
            ));
            let late = Arc::clone(self);
            let born = self.state.lock().unwrap().born;
            thread::spawn(move || {
                thread::sleep(delay);
                if late.state.lock().unwrap().born == born {
                    late.carry_out(&path, &body, "late");
                }
            });
            thread::sleep(Duration::from_secs(30));
            return None;
        }
        self.carry_out(&path, &body, "")
    }

    fn carry_out(&self, path: &str, body: &Json, note: &str) -> Option<Response> {
        if path == "/hold" {
            return self.hold(body);
        }
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return None;
        }
        let clock = state.clock_ms();
        let token = body.u64("fencingToken").unwrap_or(0);
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.u64("run").unwrap_or(0) as u32;
        let id = state.id.clone();
        let refuse = |reason: &str| {
            self.record.line(&format!(
                "executor {id} refuses {path} of {task} run {run}: {reason} {note}"
            ));
            Some(Response::json(
                409,
                format!(r#"{{"clockMs":{clock},"reason":"{reason}"}}"#),
            ))
        };
        if token < state.fence {
            return refuse("fence");
        }
        let done = Some(Response::json(200, format!(r#"{{"clockMs":{clock}}}"#)));
        match path {
            "/run-stop" => {
                state.fence = token;
                let refused = state.refused.entry(task.clone()).or_default();
                *refused = (*refused).max(run);
                if let Some(found) = state.runs.get_mut(&task).filter(|found| found.run == run) {
                    found.stopping.get_or_insert(Instant::now());
                }
                self.record.line(&format!(
                    "executor {} is told to stop {task} run {run} {note}",
                    state.id
                ));
                done
            }
            "/pace" => done,
            "/run-start" => {
                let until = body.u64("untilMs").unwrap_or(0);
                if state.runs.get(&task).is_some_and(|found| found.run == run) {
                    return done;
                }
                if until <= clock {
                    return refuse("late");
                }
                if state
                    .refused
                    .get(&task)
                    .is_some_and(|refused| run <= *refused)
                    || state.runs.contains_key(&task)
                {
                    return refuse("old");
                }
                let spec = Spec::parse(body.text("spec").unwrap_or_default());
                let used: u64 = state.runs.values().map(|run| run.spec.cpu).sum();
                state.fence = token;
                state.lease_ms = state.lease_ms.max(until.min(clock + HOLD_MAX_MS));
                if used + spec.cpu > state.cpu {
                    return refuse("room");
                }
                let from = body.text("lastCheckpoint").unwrap_or_default().to_owned();
                let done_ms = from
                    .get(..8)
                    .and_then(|hex| u64::from_str_radix(hex, 16).ok())
                    .unwrap_or(0);
                self.record.line(&format!("executor {} starts {task} run {run} with lastCheckpoint \"{from}\" token {token} {note}", state.id));
                self.record.start(&task, run, &state.id);
                let started = Run {
                    run,
                    spec,
                    done_ms,
                    saved: from,
                    stopping: None,
                };
                state.runs.insert(task, started);
                done
            }
            _ => Some(Response::json(404, "{}")),
        }
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let deadline = Instant::now() + Duration::from_millis(body.u64("waitMs").unwrap_or(0));
        let token = body.u64("fencingToken").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            let clock = state.clock_ms();
            if token < state.fence {
                return Some(Response::json(
                    409,
                    format!(r#"{{"clockMs":{clock},"reason":"fence"}}"#),
                ));
            }
            state.fence = token;
            let ack = body.u64("ackIndex").unwrap_or(0);
            for end in state.ends.iter().filter(|end| end.number <= ack) {
                self.record.line(&format!(
                    "end {} of {} run {} on {} is taken note of",
                    end.how, end.task, end.run, state.id
                ));
            }
            state.ends.retain(|end| end.number > ack);
            if let Some(until) = body.u64("untilMs") {
                state.lease_ms = state.lease_ms.max(until.min(clock + HOLD_MAX_MS));
            }
        }
        loop {
            let state = self.state.lock().unwrap();
            if !state.is_up {
                return None;
            }
            if !state.ends.is_empty() || Instant::now() >= deadline {
                let runs = state.runs.iter().map(|(task, run)| {
                    let percent = (run.done_ms * 100)
                        .checked_div(run.spec.work_ms)
                        .unwrap_or(100);
                    format!(
                        r#"["{task}",{},"{}",{percent},{}]"#,
                        run.run, run.saved, run.spec.cpu
                    )
                });
                let ends = state.ends.iter().take(500).map(|end| {
                    format!(
                        r#"[{},"{}",{},"{}","{}"]"#,
                        end.number, end.task, end.run, end.how, end.saved
                    )
                });
                let (runs, ends) = (
                    runs.collect::<Vec<_>>().join(","),
                    ends.collect::<Vec<_>>().join(","),
                );
                return Some(Response::json(
                    200,
                    format!(
                        r#"{{"clockMs":{},"born":{},"runningTasks":[{runs}],"endedRuns":[{ends}]}}"#,
                        state.clock_ms(),
                        state.born
                    ),
                ));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Advances what runs here.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        let has_lapsed = state.clock_ms() >= state.lease_ms;
        let mut ended = Vec::new();
        for (task, run) in &mut state.runs {
            let how = if run
                .stopping
                .is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS / 2)
            {
                "stopped"
            } else if has_lapsed {
                "lapsed"
            } else {
                run.done_ms += TICK.as_millis() as u64;
                if run.done_ms < run.spec.work_ms || run.spec.lasts && run.run > 1 {
                    continue;
                }
                if run.spec.fails { "failed" } else { "done" }
            };
            ended.push((task.clone(), how));
        }
        for (task, how) in ended {
            let run = state.end(&task, how);
            self.record.line(&format!(
                "{task} run {} ends {how} on {}",
                run.unwrap_or(0),
                state.id
            ));
            self.record.end(&task);
        }
    }
}
