//! A planned stop of a front completes every request that it accepted.
//!
//! Guards against requests that are cut off while fronts restart under load. Connections accepted
//! shortly before the stop, and keep-alive connections, are the ones at risk.

mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use fixtures::TestFront;
use fixtures::request;
use fixtures::start_front;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONNECTION;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const RESTARTS: usize = 20;
const FRONTS: usize = 2;
const CALLERS: usize = 16;
const TIMEOUT_MS: u64 = 60_000;
const UNREADY: Duration = Duration::from_millis(100);
const DRAIN_MAX: Duration = Duration::from_secs(60);

/// Picks a ready front, as the platform's load balancer does.
#[derive(Default)]
struct Balancer {
    ready: Mutex<Vec<SocketAddr>>,
    is_over: AtomicBool,
}

impl Balancer {
    fn pick(&self, turn: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap();
        ready[turn % ready.len()]
    }
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends requests over keep-alive connections until the test ends; returns their number.
async fn run_caller(balancer: Arc<Balancer>, number: usize) -> usize {
    let mut sent = 0;
    while !balancer.is_over.load(Ordering::SeqCst) {
        let mut sender = connect(balancer.pick(number + sent)).await;
        for _ in 0..20 {
            let answer = sender.send_request(request("POST", "x")).await;
            let answer = answer.expect("no request is cut off");
            assert_eq!(answer.status(), 200);
            let is_last = answer.headers().contains_key(CONNECTION);
            let body = answer.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(&body[..], b"x");
            sent += 1;
            if is_last || sender.ready().await.is_err() {
                break;
            }
        }
    }
    sent
}

async fn restart(balancer: &Balancer, old: TestFront, targets: &[SocketAddr]) -> TestFront {
    let new = start_front(TIMEOUT_MS, targets).await;
    {
        let mut ready = balancer.ready.lock().unwrap();
        ready.retain(|address| *address != old.address);
        ready.push(new.address);
    }
    assert!(old.kernel.stop(UNREADY, DRAIN_MAX).await);
    new
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_off_over_twenty_restarts() {
    let target = Arc::new(TargetServer::new(TargetSettings {
        slots: 64,
        connections_max: 1_024,
        service_time: Duration::from_millis(1),
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let targets = [listener.local_addr().unwrap()];
    tokio::spawn(Arc::clone(&target).serve(listener));
    let balancer = Arc::new(Balancer::default());
    let mut fronts = Vec::new();
    for _ in 0..FRONTS {
        let front = start_front(TIMEOUT_MS, &targets).await;
        balancer.ready.lock().unwrap().push(front.address);
        fronts.push(front);
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(run_caller(Arc::clone(&balancer), number)))
        .collect();

    for _ in 0..RESTARTS {
        let old = fronts.remove(0);
        fronts.push(restart(&balancer, old, &targets).await);
    }
    balancer.is_over.store(true, Ordering::SeqCst);

    let mut sent = 0;
    for caller in callers {
        sent += caller.await.unwrap();
    }
    assert!(sent > 0);
    assert_eq!(target.counters().executed, sent as u64);
}

#[tokio::test]
async fn a_connection_accepted_but_unread_at_the_stop_is_served() {
    let front = start_front(TIMEOUT_MS, &[]).await;
    let address = front.address;
    let mut senders = Vec::new();
    for _ in 0..20 {
        senders.push(connect(address).await);
    }

    let stop = tokio::spawn(async move { front.kernel.stop(Duration::ZERO, DRAIN_MAX).await });
    let mut answers = 0;
    for sender in &mut senders {
        answers += usize::from(sender.send_request(request("POST", "x")).await.is_ok());
    }

    assert_eq!(answers, 20);
    drop(senders);
    assert!(stop.await.unwrap());
}

#[tokio::test]
async fn answers_of_a_draining_front_ask_to_close_the_connection() {
    let front = start_front(TIMEOUT_MS, &[]).await;
    let before = fixtures::send(front.address, request("POST", "x")).await;

    front.kernel.draining().cancel();
    let after = fixtures::send(front.address, request("POST", "x")).await;

    assert_eq!(fixtures::header(&before.unwrap(), "connection"), None);
    assert_eq!(
        fixtures::header(&after.unwrap(), "connection"),
        Some("close")
    );
}
