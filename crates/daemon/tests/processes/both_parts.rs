//! A daemon with the sections `front` and `scheduler` must serve both APIs from one process.
//! Guards against a start that silently leaves one of the two services out.

use std::net::SocketAddr;

use crate::fixture::Daemon;
use crate::fixture::Platform;
use crate::fixture::exchange;
use crate::fixture::wait_until;

fn post(address: SocketAddr, path: &str) -> String {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    exchange(address, request.as_bytes())
}

#[test]
fn a_process_with_both_parts_serves_both() {
    let platform = Platform::start();
    let daemon = Daemon::start_both(&platform);

    wait_until(|| post(daemon.api, "/echo/a").contains("x-dotterelhook-verdict: ran"));
    wait_until(|| post(daemon.scheduler_api, "/runs/desk/nightly/r-1").starts_with("HTTP/1.1 200"));
}
