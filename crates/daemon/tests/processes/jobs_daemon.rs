//! A daemon that runs jobs, as a process without a platform. Guards against settings that have no
//! effect, and against an exit code that hides a call that a stop cut off.

use std::fs;
use std::io::Write;
use std::net::TcpStream;

use dotterelhook_standins::faults::DaemonProcess;
use dotterelhook_standins::ports::ReservedPorts;
use serde_json::Value;
use serde_json::json;

use crate::fixture::start_process;
use crate::fixture::wait_until;
use crate::fixture::wait_until_running;

/// A daemon that runs jobs as a child process, killed on drop.
struct JobsDaemon {
    process: DaemonProcess,
    _ports: ReservedPorts,
}

impl JobsDaemon {
    fn start(log: &Value) -> Self {
        let ports = ReservedPorts::reserve();
        let (clients, ready) = (ports.address(0), ports.address(1));
        let settings = json!({
            "host": "laguna-1",
            "failure_domain": "laguna",
            "jobs": {
                "clients_address": clients,
                "ready_address": ready,
                "peer_address": ports.address(2),
                "metrics_address": ports.address(3),
                "store_address": ports.address(4),
                "store_partitions": 8,
                "lease_max_ms": 6000,
                "stop_max_ms": 200,
                "membership_ttl_min_ms": 1000,
            },
            "stop": { "unready_ms": 0, "drain_max_ms": 300 },
            "log": log,
        });
        let mut process = start_process(&settings, ready, clients);
        wait_until_running(&mut process, || TcpStream::connect(clients).is_ok());
        Self {
            process,
            _ports: ports,
        }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.process.api).unwrap()
    }

    fn first_log_line(&self) -> String {
        let log = || fs::read_to_string(self.process.log_path()).unwrap();
        wait_until(|| log().contains('\n'));
        log().lines().next().unwrap_or_default().to_owned()
    }

    /// Sends SIGTERM and returns the exit code.
    fn stop(&mut self) -> Option<i32> {
        self.process.terminate()?.code()
    }
}

#[test]
fn log_lines_are_json_unless_the_settings_ask_for_text() {
    let by_default = JobsDaemon::start(&json!({}));
    let as_text = JobsDaemon::start(&json!({ "format": "text" }));

    let json_line = by_default.first_log_line();
    let text_line = as_text.first_log_line();

    let parsed: Value = serde_json::from_str(&json_line).unwrap();
    assert_eq!(parsed["payload"], "started");
    assert!(
        serde_json::from_str::<Value>(&text_line).is_err(),
        "{text_line}"
    );
    assert!(text_line.contains("started"), "{text_line}");
    assert!(text_line.contains("domain=laguna"), "{text_line}");
}

#[test]
fn a_planned_stop_without_calls_in_progress_exits_with_0() {
    let mut daemon = JobsDaemon::start(&json!({}));

    let code = daemon.stop();

    assert_eq!(code, Some(0));
}

#[test]
fn a_planned_stop_that_cuts_off_a_call_exits_with_1() {
    let mut daemon = JobsDaemon::start(&json!({}));
    let mut unfinished = daemon.connect();
    unfinished
        .write_all(b"POST /plans/0000000000000001 HTTP/1.1\r\nhost: x\r\n")
        .unwrap();

    let code = daemon.stop();

    assert_eq!(code, Some(1));
}
