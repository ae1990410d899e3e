//! The support for tests that start processes.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_standins::faults::DaemonProcess;
use dotterelhook_standins::ports::BLOCK_PORTS;
use dotterelhook_standins::ports::ReservedPorts;

const WAIT_MAX: Duration = Duration::from_secs(30);
/// Far more than a test binary needs.
const BLOCKS: usize = 40;

fn addresses(ports: &ReservedPorts) -> Vec<SocketAddr> {
    let indexes = 0..BLOCK_PORTS;
    indexes.map(|index| ports.address(index)).collect()
}

// Guards against a test whose process finds its port taken by a connection or by another test.
#[test]
fn reserved_ports_are_unique_and_lie_below_those_that_the_system_assigns() {
    let blocks: Vec<ReservedPorts> = (0..BLOCKS).map(|_| ReservedPorts::reserve()).collect();

    let mut all: Vec<SocketAddr> = blocks.iter().flat_map(addresses).collect();
    let assigned = TcpListener::bind("127.0.0.1:0").unwrap();
    let assigned = assigned.local_addr().unwrap().port();
    assert!(all.iter().all(|address| address.port() < assigned));
    for address in &all {
        TcpListener::bind(address).expect("a port that can be bound at any time");
    }
    let count = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), count);
}

// Guards against a test that waits for its whole limit after a process could not start.
#[test]
fn an_exit_without_a_request_is_reported_with_the_last_log_lines() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let settings = folder.join(format!("exits-{}.jsonc", std::process::id()));
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    // `ls` doesn't know the argument `--settings`.
    let mut process = DaemonProcess::new("/bin/ls".into(), settings, any, any);
    process.start().unwrap();

    let deadline = Instant::now() + WAIT_MAX;
    let mut checked = process.check_exit();
    while checked.is_ok() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
        checked = process.check_exit();
    }

    let report = format!("{:?}", checked.expect_err("it exits"));
    assert!(report.contains("exit status: 2"), "{report}");
    assert!(report.contains("settings'"), "{report}");
    fs::remove_file(process.log_path()).unwrap();
}
