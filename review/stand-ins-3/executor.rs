//! A stand-in of the platform's executors.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Reply;
use crate::http::Request;
use crate::http::serve_on;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// The limit on a lease.
const HOLD_MAX_MS: u64 = 6_000;
/// How long a lasting task takes until it is at work.
const STARTUP_MS: u64 = 500;
const CHECKPOINT_MS: u64 = 500;
const RESTORE_MS: u64 = 100;
const GANG_WAIT_MS: u64 = 3_000;
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// What the tasks of a job do.
#[derive(Clone, Debug, Default)]
pub struct Work {
    pub duration_ms: u64,
    pub cpu: u64,
    pub checkpoints: bool,
    /// The number of members, for a gang.
    pub gang: Option<usize>,
    pub lasts: bool,
    /// Whether each run ends `failed`.
    pub fails: bool,
}

/// What all executors share: the work of jobs, by id, and the gangs.
#[derive(Default)]
pub struct Fleet {
    pub work: Mutex<HashMap<String, Work>>,
    gangs: Mutex<HashMap<(String, u64), Gang>>,
}

#[derive(Default)]
struct Gang {
    present: Vec<usize>,
    complete_at: Option<Instant>,
    /// Work that was saved, in milliseconds.
    saved_ms: u64,
    /// How the first member ended.
    ended: Option<&'static str>,
}

struct Run {
    number: u64,
    started_at: Instant,
    saved_ms: u64,
    work: Work,
}

struct Life {
    born: u64,
    started_at: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    closed: HashMap<String, u64>,
    down_until: Option<Instant>,
    sequence: u64,
}

pub struct Executor {
    pub number: usize,
    pub id: String,
    pub address: SocketAddr,
    label: String,
    zone: String,
    pub cpu: u64,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    life: Mutex<Life>,
    changed: Condvar,
    connections: Mutex<HashMap<u64, u64>>,
    /// How far the time of day of this machine is ahead.
    pub clock_ahead_ms: Mutex<i64>,
}

fn now_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}

impl Life {
    fn new(born: u64) -> Self {
        Self {
            born,
            started_at: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            down_until: None,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn is_up(&self) -> bool {
        self.down_until.is_none_or(|until| until <= Instant::now())
    }

    fn ok(&self) -> Reply {
        Reply::json(
            200,
            format!("{{\"clockMs\":{},\"born\":{}}}", self.clock_ms(), self.born),
        )
    }

    fn refuse(&self, reason: &str) -> Reply {
        let (clock, born) = (self.clock_ms(), self.born);
        Reply::json(
            409,
            format!("{{\"clockMs\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"),
        )
    }
}

impl Executor {
    pub fn start(
        number: usize,
        label: &str,
        cpu: u64,
        fleet: &Arc<Fleet>,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let executor = Arc::new(Self {
            number,
            id: format!("i-{number:04}"),
            address: listener.local_addr().expect("an address"),
            label: label.to_owned(),
            zone: ["laguna", "pampanga", "batangas"][number % 3].to_owned(),
            cpu,
            fleet: Arc::clone(fleet),
            record: Arc::clone(record),
            life: Mutex::new(Life::new(now_unix_ms())),
            changed: Condvar::new(),
            connections: Mutex::default(),
            clock_ahead_ms: Mutex::new(0),
        });
        let (handler, up) = (Arc::clone(&executor), Arc::clone(&executor));
        let handler = Arc::new(move |request| handler.handle(request));
        serve_on(listener, handler, Arc::new(move || up.life().is_up()));
        let (ticking, store) = (Arc::clone(&executor), Arc::clone(store));
        thread::spawn(move || ticking.tick(&store));
        executor
    }

    /// Ends the process with all that runs; another life begins after `down`.
    pub fn crash(&self, down: Duration) {
        let mut life = self.life();
        self.record.add(format!(
            "executor {} crashes, runs {:?}",
            self.id,
            life.runs.keys()
        ));
        for (task, run) in std::mem::take(&mut life.runs) {
            self.end_gang(&task, &run, "broken");
        }
        let ahead = *self.clock_ahead_ms.lock().expect("no panic");
        let born = (now_unix_ms() as i64 + down.as_millis() as i64 + ahead) as u64;
        *life = Life::new(born);
        life.started_at = Instant::now() + down;
        life.down_until = Some(Instant::now() + down);
        self.changed.notify_all();
    }

    pub fn has_run(&self, task: &str) -> bool {
        self.life().runs.contains_key(task)
    }

    pub fn used_cpu(&self) -> u64 {
        self.life().runs.values().map(|run| run.work.cpu).sum()
    }

    pub fn born(&self) -> u64 {
        self.life().born
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no panic")
    }

    fn register(&self, store: &Store) {
        let mut life = self.life();
        if !life.is_up() {
            return;
        }
        life.sequence += 1;
        let (address, zone, born, sequence) = (self.address, &self.zone, life.born, life.sequence);
        let (label, cpu) = (quote(&self.label), self.cpu);
        let rack = quote(&format!("r1-{}", self.number / 4));
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":64000,\"gpu\":0}},\"labels\":[{label},{rack}],\"born\":{born},\"sequence\":{sequence}}}"
        );
        drop(life);
        store.write("keyed.servers", &self.id, &entry);
    }

    fn tick(&self, store: &Store) {
        let mut registered: Option<(u64, Instant)> = None;
        loop {
            thread::sleep(Duration::from_millis(10));
            self.end_runs();
            let (born, is_up) = {
                let life = self.life();
                (life.born, life.is_up())
            };
            let is_due = registered.is_none_or(|(b, at)| b != born || at.elapsed() >= HEARTBEAT);
            if is_up && is_due {
                registered = Some((born, Instant::now()));
                self.register(store);
            }
        }
    }

    /// The work that a run has done, in milliseconds.
    fn done_ms(&self, task: &str, run: &Run) -> u64 {
        let elapsed = |at: Instant| at.elapsed().as_millis() as u64;
        let restore = if run.saved_ms > 0 { RESTORE_MS } else { 0 };
        if run.work.gang.is_some() {
            let gangs = self.fleet.gangs.lock().expect("no panic");
            let gang = gangs.get(&(step_of(task), run.number));
            let since = gang.and_then(|gang| gang.complete_at.map(|at| (at, gang.saved_ms)));
            return since.map_or(0, |(at, saved)| saved + elapsed(at).saturating_sub(restore));
        }
        run.saved_ms + elapsed(run.started_at).saturating_sub(restore)
    }

    /// The newest checkpoint of a run: the work that is saved, and which task saved it.
    fn saved(&self, task: &str, run: &Run, is_stop: bool) -> String {
        if !run.work.checkpoints {
            return String::new();
        }
        let done_ms = self.done_ms(task, run);
        let done_ms = if is_stop {
            done_ms
        } else {
            done_ms / CHECKPOINT_MS * CHECKPOINT_MS
        };
        match done_ms.max(run.saved_ms) {
            0 => String::new(),
            saved => {
                // The members of a gang save the work of the gang.
                let saver = if run.work.gang.is_some() {
                    step_of(task)
                } else {
                    task.to_owned()
                };
                format!("{saved:08x}{:08x}", hash(&saver))
            }
        }
    }

    fn percent(&self, task: &str, run: &Run) -> u64 {
        let done_ms = self.done_ms(task, run);
        let total_ms = if run.work.lasts {
            STARTUP_MS
        } else {
            run.work.duration_ms
        };
        (100 * done_ms / total_ms.max(1)).min(100)
    }

    fn end_runs(&self) {
        let mut life = self.life();
        let has_lapsed = life.clock_ms() >= life.lease_end_ms;
        let mut ends = Vec::new();
        for (task, run) in &life.runs {
            let gang_end = run.work.gang.and_then(|_| self.gang_end(task, run));
            let is_alone = run.work.gang.is_some()
                && self.done_ms(task, run) == 0
                && !self.is_gang_complete(task, run)
                && run.started_at.elapsed().as_millis() as u64 >= GANG_WAIT_MS;
            let is_done = !run.work.lasts && self.done_ms(task, run) >= run.work.duration_ms;
            if has_lapsed {
                ends.push((task.clone(), "lapsed"));
            } else if let Some(end) = gang_end {
                ends.push((task.clone(), end));
            } else if is_done {
                ends.push((task.clone(), if run.work.fails { "failed" } else { "done" }));
            } else if is_alone {
                ends.push((task.clone(), "alone"));
            }
        }
        for (task, how) in ends {
            self.end_run(&mut life, &task, how);
        }
    }

    fn is_gang_complete(&self, task: &str, run: &Run) -> bool {
        let gangs = self.fleet.gangs.lock().expect("no panic");
        gangs
            .get(&(step_of(task), run.number))
            .is_some_and(|gang| gang.complete_at.is_some())
    }

    fn gang_end(&self, task: &str, run: &Run) -> Option<&'static str> {
        let gangs = self.fleet.gangs.lock().expect("no panic");
        match gangs.get(&(step_of(task), run.number))?.ended? {
            "done" => Some("done"),
            _ => Some("broken"),
        }
    }

    fn end_gang(&self, task: &str, run: &Run, how: &'static str) {
        if run.work.gang.is_some() {
            let mut gangs = self.fleet.gangs.lock().expect("no panic");
            let gang = gangs.entry((step_of(task), run.number)).or_default();
            gang.ended.get_or_insert(how);
        }
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        let saved = if how == "done" {
            String::new()
        } else {
            self.saved(task, &run, true)
        };
        self.end_gang(task, &run, how);
        life.last_end += 1;
        self.record.add(format!(
            "end {task} run {} on {} {how} saved {saved}",
            run.number, self.id
        ));
        life.ended
            .push((life.last_end, task.to_owned(), run.number, how, saved));
        life.closed.insert(task.to_owned(), run.number);
        self.changed.notify_all();
    }

    fn handle(&self, request: Request) -> Reply {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Reply::json(400, "{}".to_owned());
        };
        self.carry_out(&request, &call)
    }

    fn carry_out(&self, request: &Request, call: &Json) -> Reply {
        let mut life = self.life();
        let mut connections = self.connections.lock().expect("no panic");
        let connected_to = *connections.entry(request.connection).or_insert(life.born);
        drop(connections);
        if !life.is_up() || connected_to != life.born {
            return Reply::Close;
        }
        if !request.expected_executor.is_empty() && request.expected_executor != self.id {
            return Reply::json(421, "{}".to_owned());
        }
        let token = call.get("fencingToken").number().unwrap_or(0);
        if token < life.token {
            return life.refuse("fence");
        }
        life.token = token;
        let task = call.get("task").text().to_owned();
        let number = call.get("run").number().unwrap_or(0);
        match &*request.path {
            "/run-start" => self.start_run(&mut life, call, task, number),
            "/run-stop" => {
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    self.end_run(&mut life, &task, "stopped");
                }
                let closed = life.closed.entry(task).or_default();
                *closed = number.max(*closed);
                life.ok()
            }
            "/hold" => self.hold(life, call),
            _ => life.ok(),
        }
    }

    fn start_run(&self, life: &mut Life, call: &Json, task: String, number: u64) -> Reply {
        if life.runs.get(&task).is_some_and(|run| run.number == number) {
            return life.ok();
        }
        let is_closed = life
            .closed
            .get(&task)
            .is_some_and(|closed| number <= *closed);
        if is_closed || life.runs.contains_key(&task) {
            return life.refuse("old");
        }
        let until_ms = call.get("untilMs").number().unwrap_or(0);
        if until_ms <= life.clock_ms() {
            return life.refuse("late");
        }
        let job = task.split('.').next().unwrap_or_default();
        let work = self
            .fleet
            .work
            .lock()
            .expect("no panic")
            .get(job)
            .cloned()
            .unwrap_or_default();
        let used: u64 = life.runs.values().map(|run| run.work.cpu).sum();
        if used + work.cpu > self.cpu {
            return life.refuse("room");
        }
        life.lease_end_ms = life
            .lease_end_ms
            .max(until_ms.min(life.clock_ms() + HOLD_MAX_MS));
        let checkpoint = call.get("lastCheckpoint").text().to_owned();
        let saved_ms = checkpoint
            .get(..8)
            .and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let saved_ms = saved_ms.unwrap_or(0);
        let born = life.born;
        self.record.add(format!(
            "start {task} run {number} on {} (life {born}) lastCheckpoint {}",
            self.id,
            quote(&checkpoint)
        ));
        if let Some(members) = work.gang {
            let mut gangs = self.fleet.gangs.lock().expect("no panic");
            let gang = gangs.entry((step_of(&task), number)).or_default();
            gang.present.push(self.number);
            gang.saved_ms = saved_ms;
            if gang.present.len() >= members {
                gang.complete_at = Some(Instant::now());
            }
        }
        let run = Run {
            number,
            started_at: Instant::now(),
            saved_ms,
            work,
        };
        life.runs.insert(task, run);
        life.ok()
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, call: &Json) -> Reply {
        let until_ms = call.get("untilMs").number().unwrap_or(0);
        life.lease_end_ms = life
            .lease_end_ms
            .max(until_ms.min(life.clock_ms() + HOLD_MAX_MS));
        let acked = call.get("ackIndex").number().unwrap_or(0);
        for (number, task, run, how, _) in &life.ended {
            if *number <= acked {
                self.record
                    .add(format!("noted {task} run {run} on {} {how}", self.id));
            }
        }
        life.ended.retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(call.get("waitMs").number().unwrap_or(0));
        let (deadline, born) = (Instant::now() + wait, life.born);
        while life.ended.is_empty() && life.born == born && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            life = self.changed.wait_timeout(life, left).expect("no panic").0;
        }
        if life.born != born {
            return Reply::Close;
        }
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|(task, run)| {
                let saved = quote(&self.saved(task, run, false));
                format!(
                    "[{},{},{saved},{},0]",
                    quote(task),
                    run.number,
                    self.percent(task, run)
                )
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how, saved)| {
                format!(
                    "[{number},{},{run},\"{how}\",{}]",
                    quote(task),
                    quote(saved)
                )
            })
            .collect();
        let (clock, running, ended) = (life.clock_ms(), running.join(","), ended.join(","));
        Reply::json(
            200,
            format!(
                "{{\"clockMs\":{clock},\"born\":{born},\"runningTasks\":[{running}],\"endedRuns\":[{ended}]}}"
            ),
        )
    }
}

/// The step of a task's name: ID.K.STEP.
fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
    })
}
