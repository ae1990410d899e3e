//! The system's own process on one entry host, started as the deploy file says.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

pub const ZONES: [&str; 3] = ["fukuoka", "kumamoto", "kagoshima"];
const PROGRAM: &str = "target/release/dotterelhookd";

/// Returns a free address outside the range from which the system takes the ports of outgoing
/// connections, so that it is still free when a process binds it.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 20_000;
    const PORTS: u32 = 12_000;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(131);
    for _ in 0..PORTS {
        let next = offset.wrapping_add(TAKEN.fetch_add(1, Ordering::SeqCst));
        let port = FIRST_PORT + next % PORTS;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("a bound address");
        }
    }
    panic!("no port is free");
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of deploy/settings.jsonc, with the values of amakusa-tmpl, and starts the
    /// process.
    pub fn start(number: usize, folder: &Path, store: SocketAddr) -> Self {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("edge-{zone}-{number}");
        let [front, ready, peer, metrics] = [(); 4].map(|()| free_address());
        let settings = format!(
            r#"{{
  "host": "{name}", "failure_domain": "{zone}", "cpu_cores": 0.25,
  "jobs": {{
    "clients_address": "{front}", "ready_address": "{ready}", "peer_address": "{peer}", "metrics_address": "{metrics}",
    "store_address": "{store}", "store_partitions": 8,
    "lease_max_ms": 10000, "stop_max_ms": 400, "far_factor": 3,
    "executors_enforce_fences": true, "membership_ttl_min_ms": 1000
  }},
  "stop": {{ "unready_ms": 2200, "drain_max_ms": 2800 }},
  "log": {{ "level": "info", "format": "json" }}
}}"#
        );
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("a writable folder");
        let log = folder.join(format!("{name}.log"));
        let mut host = Self {
            name,
            front,
            ready,
            settings: path,
            log,
            child: None,
        };
        host.run();
        host
    }

    pub fn run(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a writable log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(PROGRAM)
            .args(["--settings-from", "DOTTERELHOOK_NODE_FILE"])
            .env("DOTTERELHOOK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file"));
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|exit| exit.is_some()))
    }

    /// Sends a signal, such as STOP, CONT or TERM, to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([format!("-{name}"), child.id().to_string()])
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
