//! Hosts of the system as processes, beside stand-ins of the store, the executors and the clients.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::executor::Executor;
use crate::executor::Fleet;
use crate::executor::Work;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The host name and the path prefix of the queue.
const QUEUE_HOST: &str = "nony24.example";
const QUEUE_PREFIX: &str = "/lohu930/";
/// How long clients wait for an answer.
const CLIENT_WAIT: Duration = Duration::from_secs(3);

pub struct Host {
    clients: SocketAddr,
    ready: SocketAddr,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub fleet: Arc<Fleet>,
    pub executors: Vec<Arc<Executor>>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
    next_host: std::cell::Cell<usize>,
    next_port: std::cell::Cell<u16>,
}

/// Whether the disruption is injected.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The processes that the test has started.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// The longest time that a test runs.
const TEST_MAX: Duration = Duration::from_secs(115);

/// Ends all processes that the test has started.
fn kill_processes() {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for process in processes.iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
}

/// The case can't run.
pub fn give_up(cause: &str) -> ! {
    eprintln!("the case can't run: {cause}");
    kill_processes();
    std::process::exit(2);
}

impl World {
    /// Starts the stand-ins and publishes the configuration. The argument of the program is the folder of
    /// the case; it runs in the folder of the repository.
    pub fn start(executors: &[(&str, u64)], max_attempts: u32) -> Self {
        std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
        std::thread::spawn(|| {
            sleep(TEST_MAX);
            give_up("it takes too long");
        });
        let case = std::env::args()
            .nth(1)
            .unwrap_or_else(|| give_up("no folder"));
        let record = Arc::new(Record::create(&format!("{case}/record.txt")));
        let folder =
            std::env::temp_dir().join(format!("dotterelhook-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let (store, store_address) = Store::start();
        store.write("keyed.op", "config", &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{QUEUE_HOST}\",\"pathPrefix\":\"{QUEUE_PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":{max_attempts},\"stretch\":2.0}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":true,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        ));
        let fleet = Arc::new(Fleet::default());
        let executors = executors.iter().enumerate();
        let executors = executors.map(|(number, (label, cpu))| {
            Executor::start(number, label, *cpu, &fleet, &record, &store)
        });
        let executors = executors.collect();
        Self {
            record,
            store,
            store_address,
            fleet,
            executors,
            hosts: Vec::new(),
            folder,
            next_host: std::cell::Cell::new(0),
            next_port: std::cell::Cell::new(10_000 + (std::process::id() % 500) as u16 * 40),
        }
    }

    /// Starts hosts and waits until they are ready.
    pub fn start_hosts(&mut self, count: usize) {
        for number in 0..count {
            let host = self.start_host(number, self.store_address);
            self.hosts.push(host);
        }
        for host in &self.hosts {
            let deadline = Instant::now() + Duration::from_secs(20);
            while http::call(host.ready, "GET", "/ready", "x", "", CLIENT_WAIT).map(|a| a.0)
                != Some(200)
            {
                if Instant::now() > deadline {
                    self.end(2, "a host did not become ready");
                }
                sleep(Duration::from_millis(100));
            }
        }
        // An owner has to be found, and the executors have to answer it.
        sleep(Duration::from_millis(3_500));
        self.record.add("the hosts are ready".to_owned());
    }

    fn start_host(&self, number: usize, store: SocketAddr) -> Host {
        let [clients, ready, peer, metrics]: [SocketAddr; 4] =
            std::array::from_fn(|_| self.free_port());
        let settings = self.folder.join(format!("host-{number}.jsonc"));
        let template = std::fs::read_to_string("deploy/settings.jsonc")
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let zone = ["laguna", "pampanga", "batangas"][number % 3];
        let text = render(
            &template,
            &[
                ("node", &format!("edge-{zone}-{number}")),
                ("zone", zone),
                ("limits.cpuShare", "0.25"),
                ("listen.front", &clients.to_string()),
                ("listen.ready", &ready.to_string()),
                ("ip", "127.0.0.1"),
                ("portRange.0", &peer.port().to_string()),
                ("portRange.1", &metrics.port().to_string()),
                ("platform.address", &store.to_string()),
                ("platform.parts", "8"),
                ("platform.recordBytes", "262144"),
                ("platform.callBytes", "2097152"),
                ("platform.ttlMinMs", "1000"),
                ("bounds.holdMaxMs", "6000"),
                ("bounds.stopMs", "200"),
                ("bounds.farFactor", "2"),
                ("bounds.fencingEnforced", "true"),
            ],
        );
        std::fs::write(&settings, text).unwrap_or_else(|error| give_up(&error.to_string()));
        let log = self.folder.join(format!("host-{number}.log"));
        spawn(&settings, &log);
        Host { clients, ready }
    }

    /// Returns a free port below those that the system hands out to connections.
    fn free_port(&self) -> SocketAddr {
        loop {
            let port = self.next_port.get();
            self.next_port.set(port + 1);
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }

    /// Makes a client's call at the next host.
    pub fn client(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let turn = self.next_host.get();
        self.next_host.set(turn + 1);
        let host = &self.hosts[turn % self.hosts.len()];
        let path = format!("{QUEUE_PREFIX}{path}");
        http::call(host.clients, method, &path, QUEUE_HOST, body, CLIENT_WAIT)
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, steps: &str, work: Work) {
        self.submit_timed(id, steps, "", work);
    }

    /// Submits a job with further fields until it is accepted.
    pub fn submit_timed(&self, id: &str, steps: &str, further: &str, work: Work) {
        self.fleet
            .work
            .lock()
            .expect("no panic")
            .insert(id.to_owned(), work);
        let body = format!("{{\"spec\":\"text of {id}\",\"steps\":{steps}{further}}}");
        for _ in 0..10 {
            let answer = self.client("POST", id, &body);
            let status = answer.map(|(status, _)| status);
            self.record.add(format!("POST {id} {body} -> {status:?}"));
            if status == Some(200) {
                return;
            }
            sleep(Duration::from_millis(500));
        }
        self.end(2, "a job was not accepted");
    }

    /// Asks for the state of a job; empty without an answer of 200.
    pub fn state(&self, id: &str) -> String {
        let answer = self.client("GET", id, "");
        self.record.add(format!("GET {id} -> {answer:?}"));
        match answer {
            Some((200, body)) => crate::json::Json::parse(&body)
                .map(|state| state.get("state").text().to_owned())
                .unwrap_or_default(),
            Some((410, _)) => "410".to_owned(),
            _ => String::new(),
        }
    }

    /// Waits until a condition holds. Returns whether it did within the time.
    pub fn wait(&self, limit: Duration, holds: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if holds() {
                return true;
            }
            sleep(Duration::from_millis(5));
        }
        false
    }

    /// The share of all processors that running tasks have.
    pub fn used_share(&self) -> f64 {
        let used: u64 = self
            .executors
            .iter()
            .map(|executor| executor.used_cpu())
            .sum();
        let all: u64 = self.executors.iter().map(|executor| executor.cpu).sum();
        used as f64 / all as f64
    }

    /// The executor that runs a task.
    pub fn runs_on(&self, task: &str) -> Option<&Arc<Executor>> {
        self.executors
            .iter()
            .find(|executor| executor.has_run(task))
    }

    /// Ends all processes and the test: 0 if the rule held, 1 if it was broken, 2 if the case can't run.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.record.add(format!("verdict {code}: {verdict}"));
        println!("{code}: {verdict}");
        kill_processes();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
        std::process::exit(code);
    }
}

/// Starts the program with the command of the deploy file.
fn spawn(settings: &Path, log: &Path) {
    let log = std::fs::File::create(log).expect("a log file");
    let mut command = Command::new("target/release/dotterelhookd");
    command.args(["--settings-from", "DOTTERELHOOK_NODE_FILE"]);
    let errors = log.try_clone().expect("a log file");
    command
        .env("DOTTERELHOOK_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    let process = command.spawn();
    let process = process.unwrap_or_else(|error| give_up(&error.to_string()));
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    processes.push(process);
}

/// Fills in a template as the platform does. Names without a value are empty.
fn render(template: &str, values: &[(&str, &str)]) -> String {
    let value = |name: &str| {
        values
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| *value)
    };
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let Some(name_end) = text[start..].find("}}") else {
            break;
        };
        let name = text[start + 3..start + name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let Some(end) = text.find(&close) else { break };
        let inner = text[start + name_end + 2..end].to_owned();
        let inner = if value(&name).is_some() {
            inner
        } else {
            String::new()
        };
        text.replace_range(start..end + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let Some(end) = text[start..].find("}}") else {
            break;
        };
        let name = text[start + 2..start + end].to_owned();
        let (name, is_json) = match name.strip_suffix("|json") {
            Some(name) => (name.to_owned(), true),
            None => (name, false),
        };
        let value = value(&name).unwrap_or_default();
        let value = if is_json {
            crate::json::quote(value)
        } else {
            value.to_owned()
        };
        text.replace_range(start..start + end + 2, &value);
    }
    text
}
