//! A small deployment: hosts, executors, the store and clients, all on loopback addresses.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::executor::{Executor, Gangs, SERVICE};
use crate::host::Host;
use crate::http::{Server, call};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
/// The time that clients wait for an answer, as on amakusa-tmpl.
pub const WAIT: Duration = Duration::from_millis(3_000);

pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub hosts: Vec<Host>,
    pub gangs: Arc<Gangs>,
    _server: Server,
    folder: PathBuf,
    next_front: usize,
}

impl Rig {
    /// Starts everything, and waits until each host serves the queue. Returns `None` if that takes too
    /// long.
    pub fn start(record: &str, hosts: usize, executors: usize, notes_runs: bool) -> Option<Self> {
        let record = Arc::new(Record::create(record));
        let folder =
            std::env::temp_dir().join(format!("dotterelhook-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let (store, server) = Store::start(&record);
        store.write("keyed.op", "config", &config(1));
        let gangs = Arc::new(Gangs::default());
        let executors = (0..executors)
            .map(|number| Executor::start(number, notes_runs, &store, &gangs, &record))
            .collect();
        let hosts = (0..hosts)
            .map(|number| Host::start(number, &folder, server.address))
            .collect();
        let mut rig = Self {
            record,
            store,
            executors,
            hosts,
            gangs,
            _server: server,
            folder,
            next_front: 0,
        };
        let deadline = Instant::now() + Duration::from_secs(15);
        for index in 0..rig.hosts.len() {
            while !matches!(
                call(rig.hosts[index].front, "GET", "/desk/", "", WAIT),
                Ok((200, _))
            ) {
                if Instant::now() > deadline {
                    rig.record.note("the hosts don't serve the queue");
                    return None;
                }
                sleep(Duration::from_millis(100));
            }
        }
        rig.record.note("all hosts serve the queue");
        rig.next_front = 0;
        Some(rig)
    }

    /// Makes a call at one host after the other until one answers for certain, up to five times.
    pub fn call(&mut self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        for attempt in 0..5 {
            let front = self.hosts[self.next_front % self.hosts.len()].front;
            self.next_front += 1;
            match call(front, method, &format!("/desk/{id}"), body, WAIT) {
                Ok((429 | 503 | 504, _)) | Err(_) if attempt < 4 => {
                    sleep(Duration::from_millis(500))
                }
                Ok(answer) => return Some(answer),
                Err(_) => return None,
            }
        }
        None
    }

    /// Submits a job. Returns whether it was accepted.
    pub fn submit(&mut self, id: &str, body: &str) -> bool {
        let answer = self.call("POST", id, body);
        let short: String = body.chars().take(160).collect();
        self.record
            .note(&format!("client: POST {id} {short} -> {answer:?}"));
        matches!(answer, Some((200..=299, _)))
    }

    pub fn state(&mut self, id: &str) -> String {
        match self.call("GET", id, "") {
            Some((200, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                body.get("state").text().unwrap_or("?").to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Returns the tasks of a job that run on any executor.
    pub fn running(&self, id: &str) -> usize {
        let tasks = self
            .executors
            .iter()
            .flat_map(|executor| executor.running());
        tasks.filter(|task| task.starts_with(id)).count()
    }

    /// Returns the share of the processors of the executors that are up which is in use.
    pub fn used_share(&self) -> f64 {
        let up = self.executors.iter().filter(|executor| executor.is_up());
        let (used, all) = up.fold((0, 0), |(used, all), executor| {
            (used + executor.used_cpu(), all + executor.cpu)
        });
        used as f64 / (all as f64).max(1.0)
    }

    pub fn has_host_exited(&mut self) -> bool {
        self.hosts.iter_mut().any(Host::has_exited)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.hosts.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(folder) => {
                let _ = std::fs::rename(&self.folder, folder);
            }
            Err(_) => {
                let _ = std::fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-desk","host":"desk.example","pathPrefix":"/desk/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"{SERVICE}","maxAttempts":3,"stretch":2.0}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}}],"limits":{{"maxBodyBytes":262144}}}}"#
    )
}
