//! An executor of the platform, as PROTOCOL.md describes it: leases, fencing tokens, numbered ends.
//!
//! The text of a job tells what its tasks do: `cpu=500 mem=100 work=1000` (work 0: the task lasts).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Request, Response, Server};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "desk-service";
const HOLD_MAX_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const TICK: Duration = Duration::from_millis(5);
const CHECKPOINT_MS: u64 = 2_000;
const RESTORE: Duration = Duration::from_millis(250);
const GANG_WAIT: Duration = Duration::from_millis(3_000);

struct Run {
    number: u64,
    cpu: u64,
    mem: u64,
    started_at: Instant,
    /// `None` for a task that lasts.
    work: Option<Duration>,
    /// Whether the task saves its work.
    saves: bool,
    /// What was done before this run, in milliseconds.
    base_ms: u64,
    gang: Option<Arc<Mutex<Gang>>>,
}

impl Run {
    /// Returns the work that is done, in milliseconds.
    fn done_ms(&self) -> u64 {
        let since = match &self.gang {
            Some(gang) => gang.lock().unwrap().complete_at,
            None => Some(self.started_at),
        };
        let restore = if self.base_ms > 0 {
            RESTORE
        } else {
            Duration::ZERO
        };
        self.base_ms
            + since.map_or(0, |at| {
                at.elapsed().saturating_sub(restore).as_millis() as u64
            })
    }

    fn is_done(&self) -> bool {
        self.work
            .is_some_and(|work| self.done_ms() >= work.as_millis() as u64)
    }

    /// Returns the value saved last, or at a stop the newest one; empty without any.
    fn saved(&self, task: &str, is_stop: bool) -> String {
        let done_ms = self.done_ms();
        let step_ms = if is_stop { 1 } else { CHECKPOINT_MS };
        let saved_ms =
            (self.base_ms + (done_ms - self.base_ms) / step_ms * step_ms).max(self.base_ms);
        match self.saves && saved_ms > 0 {
            true => format!("{saved_ms:08x}{}", &task[4..12]),
            false => String::new(),
        }
    }
}

/// The members of one run of a gang. They work once all are present, and end together.
#[derive(Default)]
pub struct Gang {
    present: usize,
    complete_at: Option<Instant>,
    /// How the first member ended.
    ended: Option<&'static str>,
}

/// What all executors know of gangs.
#[derive(Default)]
pub struct Gangs {
    runs: Mutex<HashMap<(String, u64), Arc<Mutex<Gang>>>>,
    /// The `lastCheckpoint` of each start of a member, by run and task.
    pub started_with: Mutex<BTreeMap<u64, BTreeMap<String, String>>>,
    /// The runs of members that ended as `alone`.
    pub alone: Mutex<Vec<String>>,
}

struct Life {
    born: u64,
    started_at: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Number, task, run, kind and saved value.
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    closed: HashMap<String, u64>,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        Self {
            born,
            started_at: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, until_ms: Option<u64>) {
        let until_ms = until_ms.unwrap_or(0).min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(until_ms);
    }

    fn answer(&self, status: u16, reason: &str) -> Option<Response> {
        let reason = match reason {
            "" => String::new(),
            reason => format!(r#","reason":"{reason}""#),
        };
        Response::json(
            status,
            &format!(
                r#"{{"clockMs":{},"born":{}{reason}}}"#,
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.runs.remove(task)?;
        self.last_end += 1;
        let saved = if how == "done" {
            String::new()
        } else {
            run.saved(task, how == "stopped")
        };
        self.ended
            .push((self.last_end, task.to_owned(), run.number, how, saved));
        if let Some(gang) = &run.gang {
            gang.lock().unwrap().ended.get_or_insert(how);
        }
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        Some(run.number)
    }
}

pub struct Executor {
    pub id: String,
    rack: String,
    zone: String,
    pub cpu: u64,
    mem: u64,
    address: SocketAddr,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    changed: Condvar,
    record: Arc<Record>,
    /// Whether starts and ends of single runs are noted.
    notes_runs: bool,
    store: Arc<Store>,
    gangs: Arc<Gangs>,
    /// Until when this executor drains, once it leaves.
    leaves_at: Mutex<Option<Instant>>,
    /// The kind of the current life, which is one of its labels.
    kind: Mutex<&'static str>,
    /// Starts of tasks whose job requires another kind than that of the life that began them.
    pub wrong_kind: Mutex<Vec<String>>,
}

impl Executor {
    pub fn start(
        number: usize,
        notes_runs: bool,
        store: &Arc<Store>,
        gangs: &Arc<Gangs>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        // The port stays the same over all lives.
        let address = crate::host::free_address();
        let executor = Arc::new(Self {
            id: format!(
                "i-{:08x}",
                0x7f3a_91c2_u32.wrapping_add(number as u32 * 0x1357_9bdf)
            ),
            rack: format!("r1-{}", number / 8),
            zone: crate::host::ZONES[number % crate::host::ZONES.len()].to_owned(),
            cpu: 16_000,
            mem: 64_000,
            address,
            life: Mutex::new(None),
            server: Mutex::new(None),
            changed: Condvar::new(),
            record: record.clone(),
            notes_runs,
            store: store.clone(),
            gangs: gangs.clone(),
            leaves_at: Mutex::new(None),
            kind: Mutex::new("a"),
            wrong_kind: Mutex::default(),
        });
        executor.begin_life();
        let ticking = executor.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(TICK);
            }
        });
        let beating = executor.clone();
        std::thread::spawn(move || beating.beat());
        executor
    }

    /// Ends the process of this executor, with all that runs there.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            let life = self.lock().take();
            let runs = life.map_or(BTreeMap::new(), |life| life.runs);
            for gang in runs.values().filter_map(|run| run.gang.as_ref()) {
                gang.lock().unwrap().ended.get_or_insert("crashed");
            }
            let lost = runs.len();
            self.record
                .note(&format!("executor {} crashes with {lost} runs", self.id));
            self.changed.notify_all();
            server.stop();
        }
    }

    /// Starts the executor again under its id, knowing nothing of before.
    pub fn begin_life(self: &Arc<Self>) {
        *self.lock() = Some(Life::new());
        let called = self.clone();
        let handler: Handler = Arc::new(move |request| called.call(&request));
        let server = Server::start(self.address, handler).expect("the executor's port");
        *self.server.lock().unwrap() = Some(server);
        self.record.note(&format!("executor {} is up", self.id));
    }

    /// Starts the executor again under its id, with another kind, and registers it at once.
    pub fn begin_life_as(self: &Arc<Self>, kind: &'static str) {
        *self.kind.lock().unwrap() = kind;
        self.begin_life();
        self.write_entry(0);
        self.record.note(&format!(
            "executor {} has registered with the kind {kind}",
            self.id
        ));
    }

    pub fn kind(&self) -> &'static str {
        *self.kind.lock().unwrap()
    }

    /// Reports that this executor drains, serves for `serves_for` and leaves for good.
    pub fn leave(self: &Arc<Self>, serves_for: Duration) {
        *self.leaves_at.lock().unwrap() = Some(Instant::now() + serves_for);
        self.write_entry(1_000_000);
        self.record
            .note(&format!("executor {} is draining", self.id));
        let leaving = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(serves_for);
            leaving.crash();
            leaving.store.write("keyed.servers", &leaving.id, "");
        });
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_some()
    }

    /// Returns the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.lock()
            .as_ref()
            .map_or(Vec::new(), |life| life.runs.keys().cloned().collect())
    }

    pub fn used_cpu(&self) -> u64 {
        self.lock()
            .as_ref()
            .map_or(0, |life| life.runs.values().map(|run| run.cpu).sum())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap()
    }

    fn beat(&self) {
        let mut sequence = 0;
        let mut silent = 0;
        loop {
            match self.write_entry(sequence) {
                true => {
                    sequence += 1;
                    silent = 0;
                }
                false => {
                    silent += 1;
                    if silent == 3 {
                        self.store.write("keyed.servers", &self.id, "");
                    }
                }
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Writes the entry of this executor, if it is up.
    fn write_entry(&self, sequence: u64) -> bool {
        let life = self
            .lock()
            .as_ref()
            .map(|life| (life.born, life.clock_ms()));
        let Some((born, clock_ms)) = life else {
            return false;
        };
        let leaves_at = *self.leaves_at.lock().unwrap();
        let state = match leaves_at {
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                format!(r#""draining","remainingMs":{}"#, left.as_millis())
            }
            None => r#""ready""#.to_owned(),
        };
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"v1","slots":8,"state":{state},"coldLeftMs":0,"capacity":{{"cpu":{},"memMb":{},"gpu":0}},"labels":["{}","{}"],"clockMs":{clock_ms},"sequence":{sequence},"born":{born}}}"#,
            self.address,
            self.zone,
            self.cpu,
            self.mem,
            self.kind(),
            self.rack
        );
        self.store.write("keyed.servers", &self.id, &entry);
        true
    }

    /// Ends what is done, and everything once the lease is over.
    fn tick(&self) {
        let mut guard = self.lock();
        let Some(life) = guard.as_mut() else { return };
        let is_lapsed = life.clock_ms() >= life.lease_end_ms;
        let how_over = |run: &Run| -> Option<&'static str> {
            if is_lapsed {
                return Some("lapsed");
            }
            if let Some(gang) = &run.gang {
                let gang = gang.lock().unwrap();
                match gang.ended {
                    Some("done") => return Some("done"),
                    Some(_) => return Some("broken"),
                    None if gang.complete_at.is_none() && run.started_at.elapsed() >= GANG_WAIT => {
                        return Some("alone");
                    }
                    None => {}
                }
            }
            run.is_done().then_some("done")
        };
        let over: Vec<(String, &'static str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), how_over(run)?)))
            .collect();
        if over.is_empty() {
            return;
        }
        if is_lapsed {
            self.record.note(&format!(
                "executor {}: the lease is over, {} runs end as lapsed",
                self.id,
                over.len()
            ));
        }
        for (task, how) in over {
            let number = life.end(&task, how).unwrap_or(0);
            if how == "alone" {
                self.gangs
                    .alone
                    .lock()
                    .unwrap()
                    .push(format!("{task} run {number}"));
            }
            self.note_run(&task, number, how);
        }
        drop(guard);
        self.changed.notify_all();
    }

    fn note_run(&self, task: &str, run: u64, what: &str) {
        if self.notes_runs {
            self.record
                .note(&format!("executor {}: {task} run {run} {what}", self.id));
        }
    }

    fn call(&self, request: &Request) -> Option<Response> {
        if request
            .header("x-expect-executor")
            .is_some_and(|id| id != self.id)
        {
            return Response::json(421, "{}");
        }
        let call = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let token = call.get("fencingToken").number().unwrap_or(0);
        let mut guard = self.lock();
        let life = guard.as_mut()?;
        if token < life.token {
            return life.answer(409, "fence");
        }
        life.token = token;
        let task = call.get("task").text().unwrap_or("").to_owned();
        let number = call.get("run").number().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                life.extend_lease(call.get("untilMs").number());
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return life.answer(200, "");
                }
                if life.runs.contains_key(&task)
                    || life
                        .closed
                        .get(&task)
                        .is_some_and(|closed| number <= *closed)
                {
                    return life.answer(409, "old");
                }
                if call.get("untilMs").number().unwrap_or(0) <= life.clock_ms() {
                    return life.answer(409, "late");
                }
                let spec = call.get("spec").text().unwrap_or("");
                let (cpu, mem) = (word(spec, "cpu"), word(spec, "mem"));
                let used_cpu: u64 = life.runs.values().map(|run| run.cpu).sum();
                let used_mem: u64 = life.runs.values().map(|run| run.mem).sum();
                if used_cpu + cpu > self.cpu || used_mem + mem > self.mem {
                    return life.answer(409, "room");
                }
                let work = Some(word(spec, "work"))
                    .filter(|ms| *ms > 0)
                    .map(Duration::from_millis);
                let checkpoint = call.get("lastCheckpoint").text().unwrap_or("").to_owned();
                let base_ms = checkpoint
                    .get(..8)
                    .and_then(|digits| u64::from_str_radix(digits, 16).ok())
                    .unwrap_or(0);
                let members = word(spec, "gang") as usize;
                let gang = (members > 0).then(|| {
                    let step = task
                        .rsplit_once('.')
                        .map_or("", |(step, _)| step)
                        .to_owned();
                    let mut starts = self.gangs.started_with.lock().unwrap();
                    starts
                        .entry(number)
                        .or_default()
                        .insert(task.clone(), checkpoint.clone());
                    let gang = self
                        .gangs
                        .runs
                        .lock()
                        .unwrap()
                        .entry((step, number))
                        .or_default()
                        .clone();
                    let mut state = gang.lock().unwrap();
                    state.present += 1;
                    if state.present == members && state.ended.is_none() {
                        state.complete_at = Some(Instant::now());
                    }
                    drop(state);
                    gang
                });
                let saves = word(spec, "saves") > 0;
                let run = Run {
                    number,
                    cpu,
                    mem,
                    started_at: Instant::now(),
                    work,
                    saves,
                    base_ms,
                    gang,
                };
                life.runs.insert(task.clone(), run);
                let kind = self.kind();
                if spec.split(' ').any(|word| word == "kind=a") && kind != "a" {
                    let text = format!("{task} run {number} started on {} of kind {kind}", self.id);
                    self.record
                        .note(&format!("{text}, but its job requires the label a"));
                    self.wrong_kind.lock().unwrap().push(text);
                }
                self.note_run(
                    &task,
                    number,
                    &format!("starts with lastCheckpoint {checkpoint:?}"),
                );
                life.answer(200, "")
            }
            "/run-stop" => {
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    life.end(&task, "stopped");
                    self.note_run(&task, number, "stopped");
                }
                let closed = life.closed.entry(task).or_default();
                *closed = number.max(*closed);
                let answer = life.answer(200, "");
                drop(guard);
                self.changed.notify_all();
                answer
            }
            "/pace" => life.answer(200, ""),
            "/hold" => {
                life.extend_lease(call.get("untilMs").number());
                let acked = call.get("ackIndex").number().unwrap_or(0);
                life.ended.retain(|(number, ..)| *number > acked);
                let born = life.born;
                let wait_ms = call.get("waitMs").number().unwrap_or(0).min(2_000);
                let deadline = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let life = guard.as_ref().filter(|life| life.born == born)?;
                    let now = Instant::now();
                    if !life.ended.is_empty() || now >= deadline {
                        return Response::json(200, &lists(life));
                    }
                    guard = self.changed.wait_timeout(guard, deadline - now).unwrap().0;
                }
            }
            _ => Response::json(404, "{}"),
        }
    }
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let percent = run
                .work
                .map_or(100, |work| 100 * run.done_ms() / work.as_millis() as u64);
            let saved = run.saved(task, false);
            format!(
                "[{},{},\"{saved}\",{},{}]",
                quoted(task),
                run.number,
                percent.min(100),
                run.cpu
            )
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how, saved)| {
            format!("[{number},{},{run},\"{how}\",\"{saved}\"]", quoted(task))
        })
        .collect();
    format!(
        r#"{{"clockMs":{},"born":{},"runningTasks":[{}],"endedRuns":[{}]}}"#,
        life.clock_ms(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}

/// Returns the number behind `name=` in the text of a job.
fn word(spec: &str, name: &str) -> u64 {
    spec.split(' ')
        .filter_map(|word| word.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
