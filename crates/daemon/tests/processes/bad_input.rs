//! Malformed, oversized and unknown requests at the daemon's listeners must get an error status.
//! Guards against a listener that stops serving other callers after such a request.

use std::net::SocketAddr;

use crate::fixture::Daemon;
use crate::fixture::Platform;
use crate::fixture::exchange;
use crate::fixture::wait_until;

const HUGE_HEADER_BYTES: usize = 200_000;
const BODY_MAX_BYTES: usize = 1 << 20;

struct Case {
    name: &'static str,
    request: Vec<u8>,
    status: &'static str,
    has_verdict: bool,
}

fn case(name: &'static str, request: impl Into<Vec<u8>>, status: &'static str) -> Case {
    Case {
        name,
        request: request.into(),
        status,
        has_verdict: true,
    }
}

/// A case that the HTTP library rejects before the request is complete, without a verdict header.
fn rejected_early(name: &'static str, request: impl Into<Vec<u8>>, status: &'static str) -> Case {
    Case {
        name,
        request: request.into(),
        status,
        has_verdict: false,
    }
}

fn assert_refused(address: SocketAddr, case: &Case) {
    let answer = exchange(address, &case.request);

    let expected = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&expected), "{}: {answer}", case.name);
    let has_verdict = answer.contains("x-dotterelhook-verdict: not-run");
    assert!(has_verdict || !case.has_verdict, "{}: {answer}", case.name);
}

fn echo(address: SocketAddr) -> String {
    let request = "POST /echo/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                   content-length: 5\r\n\r\nhello";
    exchange(address, request.as_bytes())
}

fn front_cases() -> Vec<Case> {
    let huge_header = format!(
        "GET /echo/ HTTP/1.1\r\nhost: x\r\na: {}\r\n\r\n",
        "b".repeat(HUGE_HEADER_BYTES)
    );
    let huge_body = format!(
        "POST /echo/ HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{}",
        BODY_MAX_BYTES + 1,
        "b".repeat(BODY_MAX_BYTES + 1)
    );
    let many_headers = format!("GET /echo/ HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    vec![
        case(
            "unknown service",
            "GET /nothing/ HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
            "404",
        ),
        case("body too large", huge_body, "413"),
        case(
            "body never sent",
            "POST /echo/ HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 5\r\n\r\n",
            "408",
        ),
        rejected_early("not HTTP", "hello\r\n\r\n", "400"),
        rejected_early(
            "bad content length",
            "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n",
            "400",
        ),
        rejected_early("header too large", huge_header, "431"),
        rejected_early("too many headers", many_headers, "431"),
    ]
}

fn scheduler_cases() -> Vec<Case> {
    let request = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    };
    vec![
        case(
            "unknown job",
            request("POST", "/runs/desk/daily/r-1"),
            "404",
        ),
        case(
            "unknown team",
            request("POST", "/runs/other/nightly/r-1"),
            "404",
        ),
        case(
            "bad run name",
            request("POST", "/runs/desk/nightly/R_1!"),
            "400",
        ),
        case("short path", request("POST", "/runs/desk"), "400"),
        case("other path", request("POST", "/jobs"), "400"),
        case(
            "other method",
            request("PUT", "/runs/desk/nightly/r-1"),
            "405",
        ),
        rejected_early("not HTTP", "hello\r\n\r\n", "400"),
    ]
}

#[test]
fn the_front_refuses_bad_requests_and_goes_on() {
    let platform = Platform::start();
    let front = Daemon::start(&platform, "front");
    wait_until(|| echo(front.api).ends_with("hello"));

    for case in front_cases() {
        assert_refused(front.api, &case);

        let answer = echo(front.api);
        assert!(
            answer.contains("x-dotterelhook-verdict: ran"),
            "{}: {answer}",
            case.name
        );
        assert!(answer.ends_with("hello"), "{}: {answer}", case.name);
    }
}

#[test]
fn the_scheduler_refuses_bad_submissions() {
    let platform = Platform::start();
    let scheduler = Daemon::start(&platform, "scheduler");

    for case in scheduler_cases() {
        assert_refused(scheduler.api, &case);
    }
}

#[test]
fn a_planned_stop_exits_with_0() {
    let platform = Platform::start();
    let front = Daemon::start(&platform, "front");

    let code = front.stop();

    assert_eq!(code, Some(0));
}
