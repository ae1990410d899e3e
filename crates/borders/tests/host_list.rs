//! Contract tests of the host list, for the in-memory fake and the HTTP client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::hosts::HostList;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::HttpHostList;
use dotterelhook_borders::hosts::MemoryHostList;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_standins::hosts::HostListServer;
use dotterelhook_standins::hosts::register;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::serve;
use dotterelhook_types::Verdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Far longer than an answer takes, even on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// For calls that time out on purpose.
const FROZEN_TIMEOUT: Duration = Duration::from_millis(100);

/// A host list whose content and faults the test controls.
#[async_trait]
trait Fixture {
    fn list(&self) -> &dyn HostList;
    async fn fill(&self, snapshot: HostSnapshot);
    fn set_fault(&self, fault: Fault);
}

struct Memory(MemoryHostList);

#[async_trait]
impl Fixture for Memory {
    fn list(&self) -> &dyn HostList {
        &self.0
    }

    async fn fill(&self, snapshot: HostSnapshot) {
        self.0.set(snapshot);
    }

    fn set_fault(&self, fault: Fault) {
        self.0.set_down(fault != Fault::None);
    }
}

struct Http {
    server: Arc<HostListServer>,
    address: SocketAddr,
    list: HttpHostList,
}

#[async_trait]
impl Fixture for Http {
    fn list(&self) -> &dyn HostList {
        &self.list
    }

    async fn fill(&self, snapshot: HostSnapshot) {
        register(self.address, &snapshot).await.expect("registered");
    }

    fn set_fault(&self, fault: Fault) {
        self.server.faults().set(FaultBody { fault, delay_ms: 0 });
    }
}

async fn http(timeout: Duration) -> Http {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let server = Arc::new(HostListServer::new(Duration::ZERO));
    tokio::spawn(serve(listener, server.clone()));
    Http {
        server,
        address,
        list: HttpHostList::new(address, timeout),
    }
}

async fn fixtures() -> [Box<dyn Fixture>; 2] {
    [
        Box::new(Memory(MemoryHostList::default())),
        Box::new(http(CALL_TIMEOUT).await),
    ]
}

fn snapshot(count: usize) -> HostSnapshot {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let targets = (0..count).map(|index| TargetEntry {
        target: format!("executor-{index}").parse().expect("a name"),
        service: "booking".parse().expect("a name"),
        address,
        failure_domain: "laguna".parse().expect("a name"),
        worker: format!("worker-{index}").parse().expect("a name"),
        slots: 8,
        connections_max: 64,
        state: HostState::Live,
    });
    let workers = (0..count).map(|index| WorkerEntry {
        worker: format!("worker-{index}").parse().expect("a name"),
        address,
        failure_domain: "laguna".parse().expect("a name"),
        rack: "rack-1".parse().expect("a name"),
        state: HostState::Leaving,
    });
    HostSnapshot {
        targets: targets.collect(),
        workers: workers.collect(),
    }
}

#[tokio::test]
async fn an_empty_list_is_an_answer() {
    for fixture in fixtures().await {
        let read = fixture.list().read().await;

        assert_eq!(read, Ok(HostSnapshot::default()));
    }
}

#[tokio::test]
async fn the_list_comes_back_whole() {
    for fixture in fixtures().await {
        fixture.fill(snapshot(300)).await;

        let read = fixture.list().read().await;

        assert_eq!(read, Ok(snapshot(300)));
    }
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let http = http(CALL_TIMEOUT).await;
    http.fill(snapshot(3)).await;

    let first = http.list.read().await;
    let second = http.list.read().await;

    assert_eq!(first, Ok(snapshot(3)));
    assert_eq!(second, first);
    assert_eq!(http.server.lists_sent(), 1);
    http.fill(snapshot(4)).await;
    assert_eq!(http.list.read().await, Ok(snapshot(4)));
    assert_eq!(http.server.lists_sent(), 2);
}

#[tokio::test]
async fn a_list_of_one_failure_domain_leaves_out_the_others() {
    let http = http(CALL_TIMEOUT).await;
    let mut entries = snapshot(3);
    entries.targets[0].failure_domain = "pampanga".parse().expect("a name");
    entries.workers[1].failure_domain = "pampanga".parse().expect("a name");
    http.fill(entries).await;
    let domain = "pampanga".parse().expect("a name");
    let list = HttpHostList::new(http.address, CALL_TIMEOUT).for_failure_domain(domain);

    let read = list.read().await.expect("a list");

    let targets: Vec<&str> = read.targets.iter().map(|t| t.target.as_str()).collect();
    let workers: Vec<&str> = read.workers.iter().map(|w| w.worker.as_str()).collect();
    assert_eq!(targets, ["executor-0"]);
    assert_eq!(workers, ["worker-1"]);
}

#[tokio::test]
async fn a_list_that_is_down_is_an_error_and_comes_back() {
    for fixture in fixtures().await {
        fixture.fill(snapshot(3)).await;
        fixture.set_fault(Fault::Down);

        let down = fixture.list().read().await;

        assert!(down.is_err());
        fixture.set_fault(Fault::None);
        assert_eq!(fixture.list().read().await, Ok(snapshot(3)));
    }
}

#[tokio::test]
async fn each_fault_of_the_list_is_an_error() {
    let table = [
        (Fault::Down, Verdict::MayHaveRun),
        (Fault::Frozen, Verdict::MayHaveRun),
        (Fault::Full, Verdict::NotRun),
        (Fault::LoseAnswers, Verdict::MayHaveRun),
        (Fault::FailFast, Verdict::MayHaveRun),
    ];
    for (fault, expected) in table {
        let timeout = if fault == Fault::Frozen {
            FROZEN_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let fixture = http(timeout).await;
        fixture.set_fault(fault);

        let error = fixture.list().read().await.expect_err("a fault");

        assert_eq!(error.verdict, expected, "{fault}");
    }
}

#[tokio::test]
async fn a_closed_port_is_not_run() {
    // Bound for the whole test, so that no other process listens there.
    let closed = TcpSocket::new_v4().expect("a socket");
    closed.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let address = closed.local_addr().expect("bound");

    let error = HttpHostList::new(address, CALL_TIMEOUT).read().await;

    assert_eq!(error.expect_err("closed").verdict, Verdict::NotRun);
}

/// Starts a server that answers one request with the given body.
async fn serve_once(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&body).await;
    });
    address
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_list_that_was_truncated_is_an_error(at: prop::sample::Index) {
        let mut body = serde_json::to_vec(&snapshot(2)).expect("plain data");
        body.truncate(at.index(body.len()));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");

        let read = runtime.block_on(async {
            let address = serve_once(body).await;
            HttpHostList::new(address, CALL_TIMEOUT).read().await
        });

        prop_assert!(read.is_err());
    }
}
