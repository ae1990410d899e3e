//! A small deployment: the store, some hosts that run the project's daemon, and a client.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["fukuoka", "kumamoto", "kagoshima"];
/// The command of the deploy file.
const PROGRAM: &str = "target/release/dotterelhookd";

pub struct Host {
    pub name: String,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub store: Store,
    pub record: Record,
    pub hosts: Vec<Host>,
    _server: Server,
    folder: PathBuf,
}

/// The ports that were given away, which the system may offer again until they are bound.
static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a free port of a loopback address that no other process of the review uses.
pub fn free_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let any = SocketAddr::from(([127, 1 + high % 250, low, 1], 0));
    let mut used = USED_PORTS.lock().unwrap();
    loop {
        let listener = TcpListener::bind(any).and_then(|listener| listener.local_addr());
        let address = listener.expect("a port is free");
        if used.insert(address.port()) {
            return address;
        }
    }
}

impl Deployment {
    /// Starts the store and the hosts, and publishes a configuration with the queue `plan`.
    pub fn start(record: &Record, host_count: usize) -> Self {
        let store = Store::default();
        let serving = store.clone();
        let server = Server::start(
            free_address(),
            Arc::new(move |request| Some(serving.handle(&request))),
        );
        let server = server.expect("the store listens");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut hosts = Vec::new();
        for index in 0..host_count {
            let name = format!("edge-{}-{index}", ZONES[index % 3]);
            let (clients, ready, peer, metrics) = (
                free_address(),
                free_address(),
                free_address(),
                free_address(),
            );
            let text = format!(
                r#"{{ "host": "{name}", "failure_domain": "{}", "cpu_cores": 0.25,
  "jobs": {{ "clients_address": "{clients}", "ready_address": "{ready}", "peer_address": "{peer}",
    "metrics_address": "{metrics}", "store_address": "{}", "store_partitions": 8,
    "store_record_max_bytes": 262144, "store_append_max_bytes": 2097152,
    "lease_max_ms": 10000, "stop_max_ms": 100, "far_factor": 3,
    "executors_enforce_fences": true, "membership_ttl_min_ms": 1000 }},
  "stop": {{ "unready_ms": 2200, "drain_max_ms": 2800 }},
  "log": {{ "level": "info", "format": "json" }} }}"#,
                ZONES[index % 3],
                server.address()
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text).expect("the settings can be written");
            hosts.push(Host {
                name,
                clients,
                ready,
                settings,
                child: None,
            });
        }
        let mut deployment = Self {
            store,
            record: record.clone(),
            hosts,
            _server: server,
            folder,
        };
        deployment.put_config(r#"{"name":"r-plan","host":"plan.example","pathPrefix":"/plan/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":4,"stretch":2.0}"#);
        for index in 0..host_count {
            deployment.start_host(index);
        }
        deployment
    }

    pub fn put_config(&self, routes: &str) {
        let config = format!(
            r#"{{"version":3,"routes":[{routes}],"services":[{{"name":"desk","rejectsOverload":true}}],"limits":{{"maxBodyBytes":262144}}}}"#
        );
        self.store.put("keyed.op", "config", &config);
    }

    pub fn start_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let log =
            fs::File::create(self.folder.join(format!("{}.log", host.name))).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["--settings-from", "DOTTERELHOOK_NODE_FILE"])
            .env("DOTTERELHOOK_NODE_FILE", &host.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => host.child = Some(child),
            Err(error) => {
                eprintln!("{PROGRAM} does not start: {error}");
                std::process::exit(2);
            }
        }
        self.record
            .line(&format!("host {} starts", self.hosts[index].name));
    }

    /// Waits until all hosts are ready and the executors are used.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            let is_ready = |host: &Host| {
                let answer = http::call(
                    host.ready,
                    "GET",
                    "/ready",
                    &[("Host", "x")],
                    "",
                    Duration::from_secs(1),
                );
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.hosts.iter().all(is_ready) {
                thread::sleep(Duration::from_secs(3));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("Host", "plan.example"),
            ("X-Deadline-Ms", "3000"),
            ("Connection", "close"),
        ];
        http::call(
            self.hosts[host].clients,
            method,
            path,
            &headers,
            body,
            Duration::from_millis(3_500),
        )
    }

    /// Hands a job in, at one host after the other, until it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        for attempt in 0..8 {
            let host = attempt % self.hosts.len();
            let answer = self.call(host, "POST", &format!("/plan/{id}"), body);
            self.record.line(&format!(
                "client submits {id} at {}: {answer:?}",
                self.hosts[host].name
            ));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
