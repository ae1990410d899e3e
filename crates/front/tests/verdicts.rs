//! Verdicts to callers, compared with the requests that targets received.
//!
//! Guards against a `not-run` verdict on a request that ran, against a second run of a request
//! that is not idempotent, and against a partial answer passed on as whole. Connections are cut at
//! every byte, and frozen in every phase.

mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_standins::target::AfterAnswer;
use dotterelhook_standins::target::RawTarget;
use dotterelhook_standins::target::ReadUpTo;
use dotterelhook_standins::target::Script;
use fixtures::SERVICE;
use fixtures::header;
use fixtures::request;
use fixtures::send;
use fixtures::snapshot;
use fixtures::start_front;
use hyper::Response;
use tokio::net::TcpSocket;

const TIMEOUT_MS: u64 = 150;
const BODY: &str = "one voucher, please";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-request-id: r-1\r\n\r\ndone.";

struct Case {
    name: String,
    script: Script,
}

fn case(name: &str, read: ReadUpTo, answer: &str, end: AfterAnswer) -> Case {
    let answer = answer.as_bytes().to_vec();
    let script = Script {
        read,
        answer,
        after_answer: end,
    };
    Case {
        name: format!("{name}, then {end:?}"),
        script,
    }
}

async fn raw_targets(script: &Script) -> Vec<Arc<RawTarget>> {
    let mut targets = Vec::new();
    for _ in 0..3 {
        targets.push(RawTarget::start(script.clone()).await.unwrap());
    }
    targets
}

fn addresses(targets: &[Arc<RawTarget>]) -> Vec<SocketAddr> {
    targets.iter().map(|target| target.address()).collect()
}

/// Returns a socket that reserves a port without listening on it.
fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Sends one request through a new front; returns the answer and the number of heads received by
/// all targets.
async fn run(script: &Script, method: &str) -> (Response<Bytes>, u64) {
    let targets = raw_targets(script).await;
    let front = start_front(TIMEOUT_MS, &addresses(&targets)).await;
    let answer = send(front.address, request(method, BODY)).await.unwrap();
    (
        answer,
        targets.iter().map(|target| target.heads_received()).sum(),
    )
}

async fn check(case: &Case, method: &str) {
    let (answer, heads) = run(&case.script, method).await;

    let verdict = header(&answer, "x-dotterelhook-verdict").unwrap();
    let name = &case.name;
    if method == "POST" {
        assert!(heads <= 1, "{name}: {heads} targets saw a purchase");
    }
    if verdict == "not-run" {
        assert_eq!(heads, 0, "{name}: said not-run");
    }
    if answer.status().is_success() {
        assert_eq!(&answer.body()[..], b"done.", "{name}");
        assert_eq!(verdict, "ran", "{name}");
    }
}

#[tokio::test]
async fn a_cut_at_any_byte_of_the_request_never_runs_it_twice() {
    for end in [AfterAnswer::Close, AfterAnswer::Reset] {
        for count in 0..260 {
            let case = case(&format!("{count} bytes"), ReadUpTo::Bytes(count), "", end);
            check(&case, "POST").await;
            check(&case, "GET").await;
        }
    }
}

#[tokio::test]
async fn a_cut_at_any_byte_of_the_answer_is_never_passed_off_as_whole() {
    for end in [AfterAnswer::Close, AfterAnswer::Reset] {
        for count in 0..=ANSWER.len() {
            let answer = &ANSWER[..count];
            let case = case(&format!("answer of {count}"), ReadUpTo::Whole, answer, end);
            check(&case, "POST").await;
            check(&case, "GET").await;
        }
    }
}

#[tokio::test]
async fn a_target_that_freezes_anywhere_leaves_the_outcome_open() {
    let cases = [
        case("before the head", ReadUpTo::Bytes(0), "", AfterAnswer::Hang),
        case("in the head", ReadUpTo::Bytes(20), "", AfterAnswer::Hang),
        case("after the head", ReadUpTo::Head, "", AfterAnswer::Hang),
        case("after the body", ReadUpTo::Whole, "", AfterAnswer::Hang),
        case(
            "in the answer's head",
            ReadUpTo::Whole,
            &ANSWER[..20],
            AfterAnswer::Hang,
        ),
        case(
            "in the answer's body",
            ReadUpTo::Whole,
            &ANSWER[..60],
            AfterAnswer::Hang,
        ),
    ];
    for case in &cases {
        let (answer, heads) = run(&case.script, "POST").await;

        let verdict = header(&answer, "x-dotterelhook-verdict");
        assert_eq!(verdict, Some("may-have-run"), "{}", case.name);
        assert_eq!(answer.status(), 504, "{}", case.name);
        assert!(heads <= 1, "{}", case.name);
    }
}

#[tokio::test]
async fn malformed_answers_are_refused_and_never_retried() {
    let cases = [
        case(
            "no HTTP",
            ReadUpTo::Whole,
            "hello\r\n\r\n",
            AfterAnswer::Close,
        ),
        case(
            "a bad status",
            ReadUpTo::Whole,
            "HTTP/1.1 99999 X\r\n\r\n",
            AfterAnswer::Close,
        ),
        case(
            "a bad length",
            ReadUpTo::Whole,
            "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
            AfterAnswer::Close,
        ),
        case(
            "two lengths",
            ReadUpTo::Whole,
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            AfterAnswer::Close,
        ),
        case(
            "no length",
            ReadUpTo::Whole,
            "HTTP/1.1 200 OK\r\n\r\ndone.",
            AfterAnswer::Close,
        ),
        case(
            "HTTP/1.0 without length",
            ReadUpTo::Whole,
            "HTTP/1.0 200 OK\r\n\r\ndone.",
            AfterAnswer::Close,
        ),
        case(
            "another protocol",
            ReadUpTo::Whole,
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
            AfterAnswer::KeepAlive,
        ),
        case(
            "another id",
            ReadUpTo::Whole,
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-request-id: r-2\r\n\r\ndone.",
            AfterAnswer::KeepAlive,
        ),
        case(
            "a short body",
            ReadUpTo::Whole,
            "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\ndone.",
            AfterAnswer::Close,
        ),
    ];
    for case in &cases {
        let (answer, heads) = run(&case.script, "POST").await;

        let verdict = header(&answer, "x-dotterelhook-verdict");
        assert_eq!(verdict, Some("may-have-run"), "{}", case.name);
        assert_eq!(answer.status(), 502, "{}: {:?}", case.name, answer.body());
        assert_eq!(heads, 1, "{}", case.name);
    }
}

#[tokio::test]
async fn interim_answers_are_skipped() {
    let answer = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n{ANSWER}");
    let case = case("interim", ReadUpTo::Whole, &answer, AfterAnswer::KeepAlive);

    let (answer, heads) = run(&case.script, "POST").await;

    assert_eq!(answer.status(), 200);
    assert_eq!(&answer.body()[..], b"done.");
    assert_eq!(heads, 1);
}

#[tokio::test]
async fn a_timeout_before_anything_is_sent_says_not_run() {
    let closed = closed_port();
    let front = start_front(TIMEOUT_MS, &[closed.local_addr().unwrap()]).await;

    let answer = send(front.address, request("POST", BODY)).await.unwrap();

    assert_eq!(answer.status(), 503);
    assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("not-run"));
    assert!(header(&answer, "retry-after").is_some());
}

#[tokio::test]
async fn a_verdict_covers_all_tries() {
    // An attempt at the first target may run the request; the second target is unreachable.
    let script = case("cut", ReadUpTo::Whole, "", AfterAnswer::Close).script;
    for _ in 0..20 {
        let cut = RawTarget::start(script.clone()).await.unwrap();
        let closed = closed_port();
        let addresses = [cut.address(), closed.local_addr().unwrap()];
        let front = start_front(TIMEOUT_MS, &addresses).await;

        let answer = send(front.address, request("GET", "")).await.unwrap();

        let verdict = header(&answer, "x-dotterelhook-verdict").unwrap();
        assert_eq!(verdict == "not-run", cut.heads_received() == 0, "{verdict}");
    }
}

/// Guards against a request that crashes one target after the other: each retry may take down another
/// one.
#[tokio::test]
async fn a_request_that_breaks_two_targets_reaches_no_third() {
    let works = case("ok", ReadUpTo::Whole, ANSWER, AfterAnswer::Close).script;
    let breaks = case("cut", ReadUpTo::Whole, "", AfterAnswer::Reset).script;
    for _ in 0..10 {
        let sound = RawTarget::start(works.clone()).await.unwrap();
        let front = start_front(TIMEOUT_MS, &[sound.address()]).await;
        // First attempts earn the retries that the budget allows.
        for _ in 0..30 {
            send(front.address, request("GET", "")).await.unwrap();
        }
        let broken = raw_targets(&breaks).await;
        let hosts = snapshot(&addresses(&broken), &front.failure_domain);
        front.hosts.0.store(Arc::new(hosts));
        let service = SERVICE.parse().unwrap();
        let pool_count = || {
            front
                .handle
                .targets
                .service(&service)
                .unwrap()
                .pools()
                .len()
        };
        while pool_count() < broken.len() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }

        send(front.address, request("GET", "")).await.unwrap();

        let heads: u64 = broken.iter().map(|target| target.heads_received()).sum();
        assert_eq!(heads, 2);
    }
}

#[tokio::test]
async fn verdicts_of_others_are_not_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-dotterelhook-verdict: not-run\r\n\
        x-dotterelhook-cause: made-up\r\nconnection: x-secret\r\nx-secret: 1\r\n\r\ndone.";
    let case = case("forged", ReadUpTo::Whole, answer, AfterAnswer::KeepAlive);

    let (answer, heads) = run(&case.script, "POST").await;

    assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("ran"));
    assert_eq!(header(&answer, "x-dotterelhook-cause"), None);
    assert_eq!(header(&answer, "x-secret"), None);
    assert_eq!(heads, 1);
}

#[tokio::test]
async fn only_a_503_counts_as_a_refusal() {
    let refusal = "HTTP/1.1 STATUS\r\ncontent-length: 0\r\nx-dotterelhook-verdict: not-run\r\n\r\n";
    for (status, tries) in [("503 No", 2), ("500 No", 1), ("429 No", 1)] {
        let answer = refusal.replace("STATUS", status);
        let case = case(status, ReadUpTo::Whole, &answer, AfterAnswer::KeepAlive);

        let (answer, heads) = run(&case.script, "POST").await;

        let expected = if tries == 1 { "ran" } else { "not-run" };
        assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some(expected));
        assert_eq!(heads, tries, "{status}");
    }
}
