//! Contract tests of worker agents, for the in-memory fake and the HTTP client with a stand-in
//! worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::clock::SystemClock;
use dotterelhook_borders::worker::AttemptStatus;
use dotterelhook_borders::worker::HttpWorkers;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::RenewBody;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_borders::worker::WorkerAgent;
use dotterelhook_borders::worker::WorkerAgents;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_standins::worker::MemoryWorker;
use dotterelhook_standins::worker::WorkerModel;
use dotterelhook_standins::worker::WorkerServer;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::sizes::Resources;
use tokio::net::TcpSocket;

const HOUR_MS: u64 = 3_600_000;
const SHORT_LEASE_MS: u64 = 50;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const FROZEN_TIMEOUT: Duration = Duration::from_secs(2);
const POLLS_MAX: usize = 1_000;

fn model() -> WorkerModel {
    let capacity = Resources::new(4_000, 16_000);
    WorkerModel::new("w0".parse().expect("a name"), Incarnation(7), capacity)
}

fn memory_agent() -> Arc<dyn WorkerAgent> {
    Arc::new(MemoryWorker::new(model(), Arc::new(SystemClock::new())))
}

/// Starts a stand-in worker on a free port and returns it with its address.
async fn start_worker() -> (Arc<WorkerServer>, SocketAddr) {
    let server = Arc::new(WorkerServer::new(model()));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, Arc::clone(&server) as Arc<dyn Handler>));
    (server, address)
}

async fn http_agent() -> Arc<dyn WorkerAgent> {
    let (_, address) = start_worker().await;
    HttpWorkers::new(CALL_TIMEOUT).agent(address)
}

fn id(text: &str) -> AttemptId {
    text.parse().expect("an id")
}

/// An agent under test and the worker's time at the start of the test.
struct Fixture {
    agent: Arc<dyn WorkerAgent>,
    now_ms: u64,
}

impl Fixture {
    async fn new(agent: Arc<dyn WorkerAgent>) -> Self {
        let now_ms = agent.inventory().await.expect("an inventory").now_ms;
        Self { agent, now_ms }
    }

    fn start_body(&self) -> StartBody {
        StartBody {
            epoch: Epoch(3),
            worker_incarnation: Incarnation(7),
            start_offset: Offset(10),
            lease_until_ms: self.now_ms + HOUR_MS,
            size: Resources::new(1_000, 1_000),
            run_time_ms: HOUR_MS,
            checkpoint: None,
        }
    }

    fn renewal(&self, epoch: u64, attempt: &str, lease_until_ms: u64) -> RenewBody {
        RenewBody {
            epoch: Epoch(epoch),
            worker_incarnation: Some(Incarnation(7)),
            lease_until_ms,
            attempts: vec![id(attempt)],
        }
    }

    async fn status(&self, attempt: &str) -> Option<AttemptStatus> {
        let inventory = self.agent.inventory().await.expect("an inventory");
        status_in(&inventory, attempt)
    }

    /// Waits until an attempt has a status. The limit is far beyond the time that the change takes.
    async fn wait_for(&self, attempt: &str, status: AttemptStatus) {
        for _ in 0..POLLS_MAX {
            if self.status(attempt).await == Some(status) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{attempt} never was {status}");
    }

    async fn assert_start_refused(&self, attempt: &str, body: &StartBody, cause: &str) {
        let error = self.agent.start(&id(attempt), body).await;
        let error = error.expect_err("the start must be refused");
        assert_eq!(error.verdict, Verdict::NotRun, "{error}");
        assert!(error.cause.contains(cause), "{error}");
    }
}

fn status_in(inventory: &Inventory, attempt: &str) -> Option<AttemptStatus> {
    let reports = &inventory.attempts;
    let report = reports.iter().find(|report| report.attempt == id(attempt));
    report.map(|report| report.status)
}

async fn a_repeated_start_runs_once(fixture: Fixture) {
    let body = fixture.start_body();

    let first = fixture.agent.start(&id("r:0:1"), &body).await;
    let second = fixture.agent.start(&id("r:0:1"), &body).await;

    let inventory = fixture.agent.inventory().await.expect("an inventory");
    assert_eq!((first, second), (Ok(()), Ok(())));
    assert_eq!(inventory.attempts.len(), 1);
    assert_eq!(inventory.attempts[0].start_offset, Offset(10));
    assert_eq!(inventory.attempts[0].size, Resources::new(1_000, 1_000));
}

async fn a_start_is_refused_by_its_rule(fixture: Fixture) {
    let body = fixture.start_body();
    fixture
        .agent
        .start(&id("r:0:1"), &body)
        .await
        .expect("a start");
    let too_large = Resources::new(3_500, 1_000);
    let cases = [
        (
            StartBody {
                size: too_large,
                ..body.clone()
            },
            "full",
        ),
        (
            StartBody {
                worker_incarnation: Incarnation(6),
                ..body.clone()
            },
            "other-incarnation",
        ),
        (
            StartBody {
                epoch: Epoch(2),
                ..body.clone()
            },
            "stale-epoch",
        ),
        (
            StartBody {
                lease_until_ms: fixture.now_ms,
                ..body.clone()
            },
            "expired",
        ),
    ];

    for (body, cause) in cases {
        fixture.assert_start_refused("r:1:1", &body, cause).await;
    }

    assert_eq!(fixture.status("r:1:1").await, None);
}

async fn a_stopped_attempt_never_starts_again(fixture: Fixture) {
    let body = fixture.start_body();
    let stop = StopBody {
        start_offset: Offset(10),
    };
    fixture
        .agent
        .start(&id("r:0:1"), &body)
        .await
        .expect("a start");

    fixture
        .agent
        .stop(&id("r:0:1"), &stop)
        .await
        .expect("a stop");
    fixture
        .agent
        .stop(&id("r:1:1"), &stop)
        .await
        .expect("a stop before the start");
    fixture.assert_start_refused("r:0:1", &body, "ended").await;
    fixture.assert_start_refused("r:1:1", &body, "ended").await;

    assert_eq!(fixture.status("r:0:1").await, Some(AttemptStatus::Stopped));
    assert_eq!(fixture.status("r:1:1").await, Some(AttemptStatus::Stopped));
}

async fn a_forgotten_attempt_never_starts_again(fixture: Fixture) {
    let body = fixture.start_body();
    let stop = StopBody {
        start_offset: Offset(10),
    };
    fixture
        .agent
        .stop(&id("r:0:1"), &stop)
        .await
        .expect("a stop before the start");

    fixture.agent.forget(&id("r:0:1")).await.expect("forgotten");
    let gone = fixture.status("r:0:1").await;
    fixture.assert_start_refused("r:0:1", &body, "ended").await;
    let later = StartBody {
        start_offset: Offset(11),
        ..body
    };
    let next = fixture.agent.start(&id("r:0:2"), &later).await;

    assert_eq!(gone, None);
    assert_eq!(next, Ok(()));
}

async fn a_running_attempt_is_not_forgotten(fixture: Fixture) {
    fixture
        .agent
        .start(&id("r:0:1"), &fixture.start_body())
        .await
        .expect("a start");

    fixture.agent.forget(&id("r:0:1")).await.expect("an answer");

    assert_eq!(fixture.status("r:0:1").await, Some(AttemptStatus::Running));
}

async fn a_lease_lapses_and_is_not_revived(fixture: Fixture) {
    let lease_until_ms = fixture.now_ms + SHORT_LEASE_MS;
    let body = StartBody {
        lease_until_ms,
        ..fixture.start_body()
    };
    // On a slow machine the short lease may have expired already. The attempt then never runs.
    if fixture.agent.start(&id("r:0:1"), &body).await.is_err() {
        return;
    }
    fixture.wait_for("r:0:1", AttemptStatus::Lapsed).await;

    let renewal = fixture.renewal(3, "r:0:1", fixture.now_ms + HOUR_MS);
    let inventory = fixture.agent.renew(&renewal).await.expect("an inventory");

    assert_eq!(status_in(&inventory, "r:0:1"), Some(AttemptStatus::Lapsed));
}

async fn a_late_renewal_shortens_nothing(fixture: Fixture) {
    fixture
        .agent
        .start(&id("r:0:1"), &fixture.start_body())
        .await
        .expect("a start");

    let late = fixture.renewal(3, "r:0:1", fixture.now_ms);
    let inventory = fixture.agent.renew(&late).await.expect("an inventory");

    assert_eq!(status_in(&inventory, "r:0:1"), Some(AttemptStatus::Running));
}

async fn a_later_epoch_shuts_the_former_out(fixture: Fixture) {
    let lease_until_ms = fixture.now_ms + HOUR_MS;
    let newer = fixture.renewal(4, "r:0:1", lease_until_ms);
    fixture.agent.renew(&newer).await.expect("an inventory");

    let older = fixture
        .agent
        .renew(&fixture.renewal(3, "r:0:1", lease_until_ms))
        .await;
    fixture
        .assert_start_refused("r:0:1", &fixture.start_body(), "stale-epoch")
        .await;

    assert_eq!(older.expect_err("refused").verdict, Verdict::NotRun);
}

async fn a_stopped_attempt_keeps_its_checkpoint(fixture: Fixture) {
    fixture
        .agent
        .start(&id("r:0:1"), &fixture.start_body())
        .await
        .expect("a start");

    let name = fixture
        .agent
        .checkpoint(&id("r:0:1"))
        .await
        .expect("a checkpoint");
    let stop = StopBody {
        start_offset: Offset(10),
    };
    fixture
        .agent
        .stop(&id("r:0:1"), &stop)
        .await
        .expect("a stop");
    let none = fixture.agent.checkpoint(&id("r:0:1")).await;

    let inventory = fixture.agent.inventory().await.expect("an inventory");
    assert_eq!(inventory.attempts[0].checkpoint, Some(name));
    assert_eq!(none.expect_err("it does not run").verdict, Verdict::NotRun);
}

async fn a_finished_attempt_keeps_its_result_until_forgotten(fixture: Fixture) {
    let body = StartBody {
        run_time_ms: 1,
        ..fixture.start_body()
    };
    fixture
        .agent
        .start(&id("r:0:1"), &body)
        .await
        .expect("a start");

    fixture.wait_for("r:0:1", AttemptStatus::Succeeded).await;
    fixture.assert_start_refused("r:0:1", &body, "ended").await;
    fixture.agent.forget(&id("r:0:1")).await.expect("forgotten");

    assert_eq!(fixture.status("r:0:1").await, None);
}

macro_rules! contract {
    ($($case:ident),* $(,)?) => {
        mod memory {
            $(#[tokio::test]
            async fn $case() {
                super::$case(super::Fixture::new(super::memory_agent()).await).await;
            })*
        }

        mod http {
            $(#[tokio::test]
            async fn $case() {
                super::$case(super::Fixture::new(super::http_agent().await).await).await;
            })*
        }
    };
}

contract!(
    a_repeated_start_runs_once,
    a_start_is_refused_by_its_rule,
    a_stopped_attempt_never_starts_again,
    a_forgotten_attempt_never_starts_again,
    a_running_attempt_is_not_forgotten,
    a_lease_lapses_and_is_not_revived,
    a_late_renewal_shortens_nothing,
    a_later_epoch_shuts_the_former_out,
    a_stopped_attempt_keeps_its_checkpoint,
    a_finished_attempt_keeps_its_result_until_forgotten,
);

#[tokio::test]
async fn each_fault_has_its_verdict() {
    let cases = [
        (Fault::Down, Verdict::MayHaveRun, None),
        (
            Fault::LoseAnswers,
            Verdict::MayHaveRun,
            Some(AttemptStatus::Running),
        ),
        (Fault::Full, Verdict::NotRun, None),
        (Fault::FailFast, Verdict::MayHaveRun, None),
        (Fault::Frozen, Verdict::MayHaveRun, None),
    ];
    for (fault, verdict, found) in cases {
        let (server, address) = start_worker().await;
        let fixture = Fixture::new(HttpWorkers::new(CALL_TIMEOUT).agent(address)).await;
        let timeout = match fault {
            Fault::Frozen => FROZEN_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let caller = HttpWorkers::new(timeout).agent(address);

        server.faults().set(FaultBody { fault, delay_ms: 0 });
        let error = caller.start(&id("r:0:1"), &fixture.start_body()).await;
        server.faults().set(FaultBody::default());

        assert_eq!(error.expect_err("a fault").verdict, verdict, "{fault}");
        if fault != Fault::Frozen {
            assert_eq!(fixture.status("r:0:1").await, found, "{fault}");
        }
    }
}

#[tokio::test]
async fn a_worker_that_can_not_be_reached_did_not_run() {
    // The socket is bound but does not listen: connections are refused, and no other process can
    // take the port.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a free port");
    let address = socket.local_addr().expect("an address");

    let result = HttpWorkers::new(CALL_TIMEOUT)
        .agent(address)
        .inventory()
        .await;

    assert_eq!(result.expect_err("nobody listens").verdict, Verdict::NotRun);
}
