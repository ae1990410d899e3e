//! A daemon that runs jobs, as a process without a platform. Guards against settings that have no
//! effect, and against an exit code that hides a call that a stop cut off.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

use crate::fixture::test_ip;
use crate::fixture::wait_until;

const FIRST_PORT: u16 = 7300;

/// A daemon that runs jobs as a child process, killed on drop.
struct JobsDaemon {
    ip: Ipv4Addr,
    child: Child,
    output: BufReader<Box<dyn Read>>,
}

impl JobsDaemon {
    fn start(ip: Ipv4Addr, log: &Value) -> Self {
        let address = |offset: u16| SocketAddr::from((ip, FIRST_PORT + offset));
        let settings = json!({
            "host": "laguna-1",
            "failure_domain": "laguna",
            "jobs": {
                "clients_address": address(0),
                "ready_address": address(1),
                "peer_address": address(2),
                "metrics_address": address(3),
                "store_address": address(4),
                "store_partitions": 8,
                "lease_max_ms": 6000,
                "stop_max_ms": 200,
                "membership_ttl_min_ms": 1000,
            },
            "stop": { "unready_ms": 0, "drain_max_ms": 300 },
            "log": log,
        });
        let mut file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        file.push(format!("jobs-{ip}.jsonc"));
        fs::write(&file, settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dotterelhookd"));
        command.arg("--settings").arg(&file);
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().unwrap();
        let output: Box<dyn Read> = Box::new(child.stdout.take().unwrap());
        let daemon = Self {
            ip,
            child,
            output: BufReader::new(output),
        };
        wait_until(|| daemon.connect().is_some());
        daemon
    }

    fn connect(&self) -> Option<TcpStream> {
        TcpStream::connect((self.ip, FIRST_PORT)).ok()
    }

    fn first_log_line(&mut self) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).unwrap();
        line
    }

    /// Sends SIGTERM and returns the exit code.
    fn stop(&mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
        self.child.wait().unwrap().code()
    }
}

impl Drop for JobsDaemon {
    fn drop(&mut self) {
        // The daemon has ended if the test stopped it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn log_lines_are_json_unless_the_settings_ask_for_text() {
    let mut by_default = JobsDaemon::start(test_ip(4), &json!({}));
    let mut as_text = JobsDaemon::start(test_ip(5), &json!({ "format": "text" }));

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
    let mut daemon = JobsDaemon::start(test_ip(6), &json!({}));

    let code = daemon.stop();

    assert_eq!(code, Some(0));
}

#[test]
fn a_planned_stop_that_cuts_off_a_call_exits_with_1() {
    let mut daemon = JobsDaemon::start(test_ip(7), &json!({}));
    let mut unfinished = daemon.connect().unwrap();
    unfinished
        .write_all(b"POST /plans/0000000000000001 HTTP/1.1\r\nhost: x\r\n")
        .unwrap();

    let code = daemon.stop();

    assert_eq!(code, Some(1));
}
