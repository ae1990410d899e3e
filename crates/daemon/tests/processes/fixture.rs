//! Fixtures: a platform inside the test process, and daemons as child processes.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_standins::faults::DaemonProcess;
use dotterelhook_standins::hosts::HostListServer;
use dotterelhook_standins::hosts::register;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::ports::ReservedPorts;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use dotterelhook_state::config::CONFIG_STREAM;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;

/// The longest wait for a condition, a response or an append.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// The places of the platform's ports in a test's block.
const LOG_PORT: u16 = 0;
const HOSTS_PORT: u16 = 1;
const TARGET_PORT: u16 = 2;
/// The places of a daemon's ports.
const ADMIN_PORT: u16 = 3;
const PEERS_PORT: u16 = 4;
const API_PORT: u16 = 5;
const SECOND_API_PORT: u16 = 6;
/// The memory of the smallest machine, in megabytes.
pub(crate) const MEMORY_MB: u64 = 160;
const RECORDS_MAX: usize = 10_000;
const BODY_TIMEOUT_MS: u64 = 300;

/// A platform with a log, a host list and one target of the service `echo`.
pub(crate) struct Platform {
    ports: ReservedPorts,
    runtime: Runtime,
}

impl Platform {
    pub(crate) fn start() -> Self {
        let ports = ReservedPorts::reserve();
        let runtime = Runtime::new().unwrap();
        runtime.block_on(start_servers(&ports));
        let platform = Self { ports, runtime };
        platform.publish(echo_service());
        platform.publish(nightly_job());
        platform
    }

    pub(crate) fn publish(&self, publication: Value) {
        let log = HttpLog::new(self.ports.address(LOG_PORT), WAIT_MAX);
        let payload: Box<str> = publication.to_string().into();
        self.runtime
            .block_on(log.append(CONFIG_STREAM, &[payload]))
            .unwrap();
    }
}

async fn start_servers(ports: &ReservedPorts) {
    let log = bind(ports.address(LOG_PORT)).await.unwrap();
    tokio::spawn(serve(log, Arc::new(LogServer::new(RECORDS_MAX))));
    let host_list = ports.address(HOSTS_PORT);
    let hosts = bind(host_list).await.unwrap();
    tokio::spawn(serve(hosts, Arc::new(HostListServer::new(Duration::ZERO))));
    let target = TargetServer::new(TargetSettings {
        slots: 8,
        connections_max: 64,
        service_time: Duration::ZERO,
    });
    let entry = echo_target(ports.address(TARGET_PORT));
    let listener = bind(entry.address).await.unwrap();
    tokio::spawn(Arc::new(target).serve(listener));
    register(
        host_list,
        &HostSnapshot {
            targets: vec![entry],
            workers: vec![],
        },
    )
    .await
    .unwrap();
}

fn echo_target(address: SocketAddr) -> TargetEntry {
    TargetEntry {
        target: "t-0".parse().unwrap(),
        service: "echo".parse().unwrap(),
        address,
        failure_domain: "laguna".parse().unwrap(),
        worker: "w-0".parse().unwrap(),
        slots: 8,
        connections_max: 64,
        state: HostState::Live,
    }
}

fn echo_service() -> Value {
    json!({
        "writer": "fixture-1", "sequence": 1, "team": "desk",
        "path": "desk/services/echo", "base_offset": null,
        "body": {
            "path_prefix": "/echo/", "timeout_ms": 5000, "replicas": 1,
            "size": { "cpu_milli": 100, "memory_mb": 100 },
            "objective": { "latency_ms": 100, "good_percent": 99.0 }
        }
    })
}

fn nightly_job() -> Value {
    json!({
        "writer": "fixture-2", "sequence": 1, "team": "desk",
        "path": "desk/jobs/nightly", "base_offset": null,
        "body": {
            "tasks": 1, "size": { "cpu_milli": 100, "memory_mb": 100 },
            "run_time_ms": 10, "deadline_ms": 60000
        }
    })
}

/// A daemon as a child process, killed on drop.
pub(crate) struct Daemon {
    pub(crate) api: SocketAddr,
    /// The second API of a daemon with a front and a scheduler.
    pub(crate) scheduler_api: SocketAddr,
    process: DaemonProcess,
}

impl Daemon {
    /// Starts a daemon with a front and a scheduler, and waits until `/readyz` answers 200.
    pub(crate) fn start_both(platform: &Platform) -> Self {
        let address = platform.ports.address(SECOND_API_PORT);
        let scheduler = json!({ "listen_address": address });
        Self::start_with(platform, "front", Some(scheduler))
    }

    /// Starts a daemon with one section, `front` or `scheduler`, and waits until `/readyz` answers
    /// 200.
    pub(crate) fn start(platform: &Platform, section: &str) -> Self {
        Self::start_with(platform, section, None)
    }

    fn start_with(platform: &Platform, section: &str, scheduler: Option<Value>) -> Self {
        let address = |port| platform.ports.address(port);
        let (admin, api) = (address(ADMIN_PORT), address(API_PORT));
        let mut settings = json!({
            "host": "laguna-1",
            "failure_domain": "laguna",
            "memory_mb": MEMORY_MB,
            "admin_address": admin,
            "platform": {
                "log_address": address(LOG_PORT),
                "host_list_address": address(HOSTS_PORT),
                "host_poll_ms": 100
            },
            "peers": { "listen_address": address(PEERS_PORT) },
            section: { "listen_address": api },
            "stop": { "unready_ms": 100 }
        });
        if section == "front" {
            settings[section]["body_timeout_ms"] = BODY_TIMEOUT_MS.into();
        }
        if let Some(scheduler) = scheduler {
            settings["scheduler"] = scheduler;
        }
        let mut process = start_process(&settings, admin, api);
        wait_until_running(&mut process, || {
            get(admin, "/readyz").starts_with("HTTP/1.1 200")
        });
        Self {
            api,
            scheduler_api: address(SECOND_API_PORT),
            process,
        }
    }

    /// Returns the largest resident size that the process has had.
    pub(crate) fn peak_memory_bytes(&self) -> u64 {
        let peak = self.process.peak_memory_bytes();
        peak.expect("a running process")
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) fn stop(mut self) -> Option<i32> {
        self.process.terminate()?.code()
    }
}

/// Starts a daemon with these settings. Its addresses are unique among running tests.
pub(crate) fn start_process(settings: &Value, admin: SocketAddr, api: SocketAddr) -> DaemonProcess {
    let mut file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    file.push(format!("daemon-{}.jsonc", api.port()));
    fs::write(&file, settings.to_string()).unwrap();
    let binary = env!("CARGO_BIN_EXE_dotterelhookd").into();
    let mut process = DaemonProcess::new(binary, file, admin, api);
    // An earlier run may have left a log.
    let _ = fs::remove_file(process.log_path());
    process.start().unwrap();
    process
}

/// Waits until a condition holds. Panics as soon as the process has exited by itself.
pub(crate) fn wait_until_running(process: &mut DaemonProcess, condition: impl Fn() -> bool) {
    wait_until(|| {
        if let Err(exit) = process.check_exit() {
            panic!("{exit:?}");
        }
        condition()
    });
}

/// Polls a condition every 20 ms, and panics when it is still false after the wait limit.
pub(crate) fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition was still false after {WAIT_MAX:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends bytes on a new connection and returns everything received until the peer closes it.
///
/// Returns an empty text if the connection is refused.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    stream.set_read_timeout(Some(WAIT_MAX)).unwrap();
    // The daemon may respond and close the connection before all bytes are sent.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends a GET request without a body and returns the raw response.
pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(address, request.as_bytes())
}
