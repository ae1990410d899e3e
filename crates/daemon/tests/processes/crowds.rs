//! Crowds of clients that don't behave at the scheduler's API. Guards against a process that outgrows the
//! smallest machine.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::fixture::Daemon;
use crate::fixture::MEMORY_MB;
use crate::fixture::Platform;
use crate::fixture::get;

/// The largest body of a run that moves.
const BODY_MAX_BYTES: usize = 4 << 20;
const CROWD_SIZE: usize = 60;

/// Nothing bounded the bodies of moved runs together, and one that stopped short was held for good.
#[test]
fn bodies_of_moved_runs_one_byte_short_fit_the_machine() {
    let platform = Platform::start();
    let daemon = Daemon::start(&platform, "scheduler");
    let head = format!(
        "POST /moved-runs/a HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_MAX_BYTES}\r\n\r\n"
    );
    let request = [head.into_bytes(), vec![b'x'; BODY_MAX_BYTES - 1]].concat();

    let crowd: Vec<_> = (0..CROWD_SIZE)
        .map(|_| {
            let mut member = TcpStream::connect(daemon.api).unwrap();
            member
                .set_write_timeout(Some(Duration::from_secs(3)))
                .unwrap();
            // The daemon may refuse the body before all of it is sent.
            let _ = member.write_all(&request);
            member
        })
        .collect();

    assert!(get(daemon.api, "/runs/none").starts_with("HTTP/1.1 "));
    let peak_bytes = daemon.peak_memory_bytes();
    println!("{peak_bytes} bytes at the peak");
    assert!(peak_bytes <= MEMORY_MB * 1_000_000, "{peak_bytes} bytes");
    drop(crowd);
}
