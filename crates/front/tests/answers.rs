//! A caller receives the whole answer to its own request, or an error.
//!
//! Guards against answers that are swapped between callers or cut short without notice. Such faults
//! arise from reused connections, pipelining, surplus answers and targets that break off.

mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::target::AfterAnswer;
use dotterelhook_standins::target::RawTarget;
use dotterelhook_standins::target::ReadUpTo;
use dotterelhook_standins::target::Script;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use fixtures::PATH;
use fixtures::TestFront;
use fixtures::header;
use fixtures::request;
use fixtures::send;
use fixtures::start_front;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rapidhash::v3::rapidhash_v3;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const TIMEOUT_MS: u64 = 60_000;
const CALLERS: usize = 2_000;
const REQUESTS_EACH: usize = 5;

async fn target_server(service_time: Duration) -> (Arc<TargetServer>, SocketAddr) {
    let target = Arc::new(TargetServer::new(TargetSettings {
        slots: 8,
        connections_max: 64,
        service_time,
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Arc::clone(&target).serve(listener));
    (target, address)
}

/// Returns a body with the request's id and a checksum; lengths vary widely with `index`.
fn body(id: &str, index: usize) -> Bytes {
    let filling = id.repeat(1 + (index * 7_919) % 9_000 / id.len());
    let checksum = rapidhash_v3(filling.as_bytes());
    format!("{id} {checksum:016x} {filling}").into()
}

/// Sends requests in sequence on one connection; returns the counts of good and other answers.
async fn run_caller(address: SocketAddr, caller: usize) -> (usize, usize) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut good = 0;
    let mut other = 0;
    for index in 0..REQUESTS_EACH {
        let id = format!("c{caller}-{index}");
        let sent = body(&id, caller + index);
        let request = Request::post(PATH)
            .header("host", "front")
            .header("x-request-id", &id)
            .body(Full::new(sent.clone()))
            .unwrap();
        sender.ready().await.unwrap();
        let answer = sender.send_request(request).await.unwrap();
        let is_ok = answer.status().is_success();
        let answered_id = answer.headers().get("x-request-id").cloned();
        let got = answer.into_body().collect().await.unwrap().to_bytes();
        if is_ok {
            assert_eq!(answered_id.unwrap(), id.as_str());
            assert_eq!(got, sent, "the answer to {id}");
            good += 1;
        } else {
            other += 1;
        }
    }
    (good, other)
}

async fn run_all_callers(front: &TestFront) -> (usize, usize) {
    let address = front.address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(run_caller(address, number)))
        .collect();
    let mut sums = (0, 0);
    for caller in callers {
        let (good, other) = caller.await.unwrap();
        sums = (sums.0 + good, sums.1 + other);
    }
    sums
}

#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_callers_get_their_own_answers_while_a_target_loses_answers() {
    let mut targets = Vec::new();
    for _ in 0..8 {
        targets.push(target_server(Duration::from_micros(500)).await);
    }
    targets[0].0.faults().set(FaultBody {
        fault: Fault::LoseAnswers,
        delay_ms: 0,
    });
    let addresses: Vec<SocketAddr> = targets.iter().map(|(_, address)| *address).collect();
    let front = start_front(TIMEOUT_MS, &addresses).await;

    let (good, other) = run_all_callers(&front).await;

    assert_eq!(good + other, CALLERS * REQUESTS_EACH);
    assert!(good > 0);
    for (target, _) in &targets {
        let counters = target.counters();
        assert_eq!(counters.repeated, 0);
        assert!(counters.in_flight_max <= 8, "{}", counters.in_flight_max);
        assert!(counters.connections_max <= 64);
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let (_target, address) = target_server(Duration::ZERO).await;
    let front = start_front(TIMEOUT_MS, &[address]).await;
    let mut stream = TcpStream::connect(front.address).await.unwrap();
    let mut sent = String::new();
    for index in 0..50 {
        sent += &format!(
            "POST {PATH} HTTP/1.1\r\nhost: f\r\nx-request-id: p{index}\r\ncontent-length: 4\r\n\r\n{index:04}"
        );
    }
    sent += &format!("GET {PATH} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n");

    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();

    let mut from = 0;
    for index in 0..50 {
        let id = format!("x-request-id: p{index}\r\n");
        let at = received[from..].find(&id).expect("answers come in order");
        let end = format!("\r\n\r\n{index:04}HTTP/1.1 200 OK");
        assert!(received[from + at..].contains(&end), "body of {index}");
        from += at;
    }
}

#[tokio::test]
async fn an_answer_too_many_goes_to_nobody() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst\
        HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    let script = Script {
        read: ReadUpTo::Whole,
        answer: answer.as_bytes().to_vec(),
        after_answer: AfterAnswer::KeepAlive,
    };
    let target = RawTarget::start(script).await.unwrap();
    let front = start_front(TIMEOUT_MS, &[target.address()]).await;

    for _ in 0..50 {
        let answer = send(front.address, request("GET", "")).await.unwrap();

        assert!(!answer.status().is_success() || &answer.body()[..] == b"first");
    }
}

#[tokio::test]
async fn a_large_answer_that_breaks_off_is_broken_for_the_caller_too() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n30d40\r\n";
    for head in [head, chunked] {
        for end in [AfterAnswer::Close, AfterAnswer::Reset] {
            let mut answer = head.as_bytes().to_vec();
            answer.resize(200_000, b'x');
            let read = ReadUpTo::Whole;
            let target = RawTarget::start(Script {
                read,
                answer,
                after_answer: end,
            })
            .await
            .unwrap();
            let front = start_front(TIMEOUT_MS, &[target.address()]).await;

            let result = send(front.address, request("POST", "")).await;

            let is_whole = result.is_ok_and(|answer| answer.status().is_success());
            assert!(!is_whole, "{head:?} {end:?}");
            assert_eq!(target.heads_received(), 1);
        }
    }
}

#[tokio::test]
async fn a_caller_of_http_1_0_gets_a_length() {
    let answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\ndone.\r\n0\r\n\r\n";
    let script = Script {
        read: ReadUpTo::Whole,
        answer: answer.as_bytes().to_vec(),
        after_answer: AfterAnswer::KeepAlive,
    };
    let target = RawTarget::start(script).await.unwrap();
    let front = start_front(TIMEOUT_MS, &[target.address()]).await;
    let mut stream = TcpStream::connect(front.address).await.unwrap();

    let sent = format!("GET {PATH} HTTP/1.0\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();

    assert!(received.contains("content-length: 5"), "{received}");
    assert!(received.ends_with("done."));
}

#[tokio::test]
async fn a_caller_that_leaves_does_not_free_the_slot_of_a_working_target() {
    let (target, address) = target_server(Duration::ZERO).await;
    target.faults().set(FaultBody {
        fault: Fault::Frozen,
        delay_ms: 0,
    });
    let front = start_front(TIMEOUT_MS, &[address]).await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(tokio::spawn(send(front.address, request("POST", ""))));
    }
    while target.counters().in_flight < 8 {
        tokio::task::yield_now().await;
    }

    callers.iter().for_each(|caller| caller.abort());
    let more = request("POST", "");
    let more = tokio::spawn(send(front.address, more));
    target.faults().set(FaultBody::default());
    let answer = more.await.unwrap().unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("ran"));
    let counters = target.counters();
    assert_eq!((counters.in_flight_max, counters.refused), (8, 0));
}

#[tokio::test]
async fn a_large_chunked_answer_comes_whole() {
    let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..20 {
        answer.extend_from_slice(b"4e20\r\n");
        answer.extend_from_slice(&[b'x'; 20_000]);
        answer.extend_from_slice(b"\r\n");
    }
    answer.extend_from_slice(b"0\r\n\r\n");
    let script = Script {
        read: ReadUpTo::Whole,
        answer,
        after_answer: AfterAnswer::KeepAlive,
    };
    let target = RawTarget::start(script).await.unwrap();
    let front = start_front(TIMEOUT_MS, &[target.address()]).await;

    let answer = send(front.address, request("POST", "")).await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body().len(), 400_000);
}

#[tokio::test]
async fn answers_without_a_body_are_whole() {
    let cases = [
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", 200),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n", 204),
        ("GET", "HTTP/1.1 304 Not Modified\r\netag: x\r\n\r\n", 304),
    ];
    for (method, answer, status) in cases {
        let script = Script {
            read: ReadUpTo::Whole,
            answer: answer.as_bytes().to_vec(),
            after_answer: AfterAnswer::KeepAlive,
        };
        let target = RawTarget::start(script).await.unwrap();
        let front = start_front(TIMEOUT_MS, &[target.address()]).await;

        for _ in 0..3 {
            let answer = send(front.address, request(method, "")).await.unwrap();

            assert_eq!(answer.status(), status);
            assert!(answer.body().is_empty());
        }
    }
}
