//! RPC between daemons: the verdict of each fault, admission limits and graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_kernel::names;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_peer::rpc::PeerLimits;
use dotterelhook_peer::rpc::PeerServer;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

struct Echo;

#[async_trait]
impl PeerHandler for Echo {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        Ok(frame)
    }
}

struct Failing(Verdict);

#[async_trait]
impl PeerHandler for Failing {
    async fn call(&self, _frame: Bytes) -> Result<Bytes, CallError> {
        Err(CallError {
            verdict: self.0,
            ..CallError::not_run("on purpose")
        })
    }
}

/// Counts calls, holds each until `open` has a permit, and reports when a call is dropped.
struct Gate {
    started: AtomicUsize,
    open: Semaphore,
    dropped: mpsc::UnboundedSender<()>,
}

struct NotifyOnDrop(mpsc::UnboundedSender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

#[async_trait]
impl PeerHandler for Gate {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let _notify = NotifyOnDrop(self.dropped.clone());
        self.started.fetch_add(1, Ordering::SeqCst);
        let _permit = self.open.acquire().await;
        Ok(frame)
    }
}

struct Fixture {
    kernel: Kernel,
    address: SocketAddr,
    gate: Arc<Gate>,
    dropped: mpsc::UnboundedReceiver<()>,
}

async fn fixture(limits: PeerLimits) -> Fixture {
    fixture_with(limits, Kernel::default()).await
}

async fn fixture_with(limits: PeerLimits, kernel: Kernel) -> Fixture {
    let (listener, address) = listener().await;
    let metrics = Arc::new(Metrics::default());
    kernel
        .registry()
        .provide::<Metrics>(names::METRICS, metrics);
    let server = PeerServer::with_listener(listener, limits);
    kernel.start(Box::new(server)).await.expect("starts");
    let handlers = kernel
        .registry()
        .find::<PeerHandlers>(names::PEER_HANDLERS)
        .expect("provided");
    let (sender, dropped) = mpsc::unbounded_channel();
    let gate = Arc::new(Gate {
        started: AtomicUsize::new(0),
        open: Semaphore::new(0),
        dropped: sender,
    });
    handlers.add("echo", Arc::new(Echo));
    handlers.add("not-run", Arc::new(Failing(Verdict::NotRun)));
    handlers.add("may-have-run", Arc::new(Failing(Verdict::MayHaveRun)));
    handlers.add("gate", gate.clone());
    Fixture {
        kernel,
        address,
        gate,
        dropped,
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

async fn verdict(address: SocketAddr, name: &str, bytes: usize, timeout: Duration) -> Verdict {
    let frame = Bytes::from(vec![7; bytes]);
    let result = PeerClient::default()
        .call(address, name, frame, timeout)
        .await;
    result.map_or_else(|error| error.verdict, |_| Verdict::Ran)
}

impl Fixture {
    async fn wait_started(&self, count: usize) {
        let wait = async {
            while self.gate.started.load(Ordering::SeqCst) < count {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait)
            .await
            .expect("started");
    }

    fn metrics(&self) -> String {
        let registry = self.kernel.registry();
        let metrics = registry.find::<Metrics>(names::METRICS).expect("provided");
        metrics.encode().expect("text")
    }
}

#[tokio::test]
async fn each_answer_keeps_its_verdict() {
    let limits = PeerLimits {
        body_max_bytes: 100_000,
        ..PeerLimits::default()
    };
    let fixture = fixture(limits).await;
    let table = [
        ("echo", 0, Verdict::Ran),
        ("echo", 100_000, Verdict::Ran),
        ("echo", 100_001, Verdict::NotRun),
        ("echo", 8_000_000, Verdict::NotRun),
        ("echo", 17 << 20, Verdict::NotRun),
        ("not-run", 10, Verdict::NotRun),
        ("may-have-run", 10, Verdict::MayHaveRun),
        ("unknown", 10, Verdict::NotRun),
    ];

    for (name, bytes, expected) in table {
        let seen = verdict(fixture.address, name, bytes, TEST_TIMEOUT).await;

        assert_eq!(seen, expected, "{name} with {bytes} bytes");
    }
    let metrics = fixture.metrics();
    assert!(metrics.contains("peer_calls_refused_total{reason=\"body\"} 2"));
    assert!(metrics.contains("peer_calls_refused_total{reason=\"no-such-call\"} 1"));
}

/// Guards against bodies of other hosts that outgrow the machine beside those of clients.
#[tokio::test]
async fn a_crowd_of_bodies_stays_within_the_memory_of_the_machine() {
    let kernel = Kernel::new(MachineMemory::from_megabytes(64));
    let fixture = fixture_with(PeerLimits::default(), kernel).await;
    let used_bytes = || fixture.kernel.memory().metrics().used_bytes.get();

    let calls = (0..100).map(|_| {
        let address = fixture.address;
        tokio::spawn(verdict(address, "gate", 250_000, TEST_TIMEOUT))
    });
    let calls: Vec<_> = calls.collect();
    fixture.wait_started(1).await;
    let refused = async {
        while calls.iter().filter(|call| call.is_finished()).count() < 68 {
            tokio::time::sleep(SHORT_TIMEOUT / 20).await;
        }
    };
    let refused = tokio::time::timeout(TEST_TIMEOUT / 3, refused).await;
    let used_by_crowd_bytes = used_bytes();
    let small = verdict(fixture.address, "echo", 4_000, TEST_TIMEOUT).await;
    fixture.gate.open.add_permits(100);
    let mut verdicts = Vec::new();
    for call in calls {
        verdicts.push(call.await.expect("no panic"));
    }

    assert!(refused.is_ok(), "fewer than 68 calls were refused");
    assert!(used_by_crowd_bytes <= 24_000_000, "{used_by_crowd_bytes}");
    assert_eq!(small, Verdict::Ran);
    assert!(verdicts.contains(&Verdict::Ran));
    assert!(!verdicts.contains(&Verdict::MayHaveRun));
    assert_eq!(used_bytes(), 0);
}

/// How a faulty peer behaves when a call arrives.
#[derive(Clone, Copy, Debug)]
enum FaultyPeer {
    Closed,
    Frozen,
    ClosesMidway,
    RefusesStream,
    ResetsStream,
    NotH2,
}

async fn start_faulty_peer(peer: FaultyPeer) -> SocketAddr {
    let (listener, address) = listener().await;
    if matches!(peer, FaultyPeer::Closed) {
        return address;
    }
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        if matches!(peer, FaultyPeer::NotH2) {
            let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await;
        }
        if matches!(peer, FaultyPeer::Frozen | FaultyPeer::NotH2) {
            std::future::pending::<()>().await;
        }
        let mut connection = h2::server::handshake(stream).await.expect("h2");
        let (_request, mut respond) = connection.accept().await.expect("a call").expect("a call");
        match peer {
            FaultyPeer::RefusesStream => respond.send_reset(h2::Reason::REFUSED_STREAM),
            FaultyPeer::ResetsStream => respond.send_reset(h2::Reason::INTERNAL_ERROR),
            _ => return,
        }
        let _ = connection.accept().await;
    });
    address
}

#[tokio::test]
async fn each_fault_of_a_peer_has_its_verdict() {
    let not_run = [Verdict::NotRun].as_slice();
    let may_have_run = [Verdict::MayHaveRun].as_slice();
    // The invalid answer may arrive before or after the call was sent.
    let either = [Verdict::NotRun, Verdict::MayHaveRun].as_slice();
    let table = [
        (FaultyPeer::Closed, not_run),
        (FaultyPeer::Frozen, may_have_run),
        (FaultyPeer::ClosesMidway, may_have_run),
        (FaultyPeer::RefusesStream, not_run),
        (FaultyPeer::ResetsStream, may_have_run),
        (FaultyPeer::NotH2, either),
    ];

    for (peer, expected) in table {
        let address = start_faulty_peer(peer).await;
        let timeout = if matches!(peer, FaultyPeer::Frozen) {
            SHORT_TIMEOUT
        } else {
            TEST_TIMEOUT
        };

        let seen = verdict(address, "echo", 10, timeout).await;

        assert!(expected.contains(&seen), "{peer:?}: {seen}");
    }
}

#[tokio::test]
async fn the_callers_deadline_ends_the_handler() {
    let mut fixture = fixture(PeerLimits::default()).await;

    let seen = verdict(fixture.address, "gate", 10, SHORT_TIMEOUT).await;

    let dropped = tokio::time::timeout(TEST_TIMEOUT, fixture.dropped.recv()).await;
    assert_eq!(seen, Verdict::MayHaveRun);
    assert_eq!(dropped, Ok(Some(())));
}

/// Guards against handlers that outlive the deadline of a caller that disconnected.
#[tokio::test]
async fn a_handler_that_ends_late_is_dropped_though_the_caller_is_gone() {
    let mut fixture = fixture(PeerLimits::default()).await;
    let address = fixture.address;
    let caller = tokio::spawn(verdict(address, "gate", 10, Duration::from_secs(1)));
    fixture.wait_started(1).await;

    caller.abort();

    let dropped = tokio::time::timeout(TEST_TIMEOUT, fixture.dropped.recv()).await;
    assert_eq!(dropped, Ok(Some(())));
}

#[tokio::test]
async fn calls_beyond_the_limit_are_refused() {
    let limits = PeerLimits {
        calls_max: 2,
        ..PeerLimits::default()
    };
    let fixture = fixture(limits).await;
    let address = fixture.address;
    let held: Vec<_> = (0..2)
        .map(|_| tokio::spawn(verdict(address, "gate", 10, TEST_TIMEOUT)))
        .collect();
    fixture.wait_started(2).await;

    let refused = verdict(address, "echo", 10, TEST_TIMEOUT).await;

    fixture.gate.open.add_permits(2);
    for call in held {
        assert_eq!(call.await.expect("ends"), Verdict::Ran);
    }
    assert_eq!(refused, Verdict::NotRun);
    assert_eq!(
        verdict(address, "echo", 10, TEST_TIMEOUT).await,
        Verdict::Ran
    );
}

/// Guards against calls with an unknown outcome during a graceful shutdown.
///
/// Calls in flight complete. Later calls run or are refused, but their outcome is always known.
#[tokio::test]
async fn a_planned_stop_loses_no_call() {
    const HELD_CALLS: usize = 20;
    let fixture = fixture(PeerLimits::default()).await;
    let address = fixture.address;
    let client = Arc::new(PeerClient::default());
    let call = |name: &'static str| {
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            let frame = Bytes::from_static(b"frame");
            let result = client.call(address, name, frame, TEST_TIMEOUT).await;
            result.map_or_else(|error| error.verdict, |_| Verdict::Ran)
        })
    };
    let held: Vec<_> = (0..HELD_CALLS).map(|_| call("gate")).collect();
    fixture.wait_started(HELD_CALLS).await;

    let stopping = fixture.kernel.stopping();
    let kernel = fixture.kernel;
    let stop = tokio::spawn(async move { kernel.stop(Duration::ZERO, TEST_TIMEOUT).await });
    stopping.cancelled().await;
    let late: Vec<_> = (0..HELD_CALLS).map(|_| call("echo")).collect();
    let mut late_verdicts = Vec::new();
    for call in late {
        late_verdicts.push(call.await.expect("ends"));
    }
    fixture.gate.open.add_permits(HELD_CALLS);

    for call in held {
        assert_eq!(call.await.expect("ends"), Verdict::Ran);
    }
    assert!(stop.await.expect("ends"));
    assert!(
        !late_verdicts.contains(&Verdict::MayHaveRun),
        "{late_verdicts:?}"
    );
    assert_eq!(
        verdict(address, "echo", 1, TEST_TIMEOUT).await,
        Verdict::NotRun
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_on_a_connection_harm_nothing_else(
        is_h2 in any::<bool>(),
        content in prop::collection::vec(any::<u8>(), 1..300),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let seen = runtime.block_on(async {
            let fixture = fixture(PeerLimits::default()).await;
            let mut stream = TcpStream::connect(fixture.address).await.expect("connects");
            let preface: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
            let bytes = [if is_h2 { preface } else { &[] }, &content].concat();
            let _ = stream.write_all(&bytes).await;
            verdict(fixture.address, "echo", 10, TEST_TIMEOUT).await
        });

        prop_assert_eq!(seen, Verdict::Ran);
    }
}
