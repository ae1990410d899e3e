use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::config::ActiveConfig;
use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::entry::OwnerClient;
use dotterelhook_jobs::entry::RecordForwarder;
use dotterelhook_jobs::entry::RecordRouter;
use dotterelhook_jobs::entry::RecordWriter;
use dotterelhook_jobs::entry::add_owner_handlers;
use dotterelhook_jobs::evacuation::OperatorView;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::observe::JobMetrics;
use dotterelhook_jobs::observe::OutcomeLabels;
use dotterelhook_jobs::ownership::Candidate;
use dotterelhook_jobs::ownership::MemberName;
use dotterelhook_jobs::ownership::OwnedCells;
use dotterelhook_jobs::ownership::OwnerContext;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::ownership::add_claim_handlers;
use dotterelhook_jobs::platform::Advisor;
use dotterelhook_jobs::platform::DecodeError;
use dotterelhook_jobs::platform::ExecutorLink;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::OperatorRecord;
use dotterelhook_jobs::platform::Partition;
use dotterelhook_jobs::platform::Platform;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::platform::StoreLimits;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_jobs::store_access::TrackedStore;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_kernel::names;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_peer::rpc::PeerLimits;
use dotterelhook_peer::rpc::PeerServer;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::memory_store::MemoryStore;

/// The longest wait of a test for an expected condition.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(30);
/// How long a stopping process may search for a successor; longer than any test runs.
const HANDOVER_MAX: Duration = Duration::from_secs(600);

/// A platform with a store and without executors.
struct StoreOnlyPlatform(Arc<dyn Store>);

impl Platform for StoreOnlyPlatform {
    fn store(&self) -> Arc<dyn Store> {
        Arc::clone(&self.0)
    }

    fn operator_partition(&self) -> Partition {
        Partition {
            topic: "keyed.operator",
            number: 0,
        }
    }

    fn executor_partition(&self) -> Partition {
        Partition {
            topic: "keyed.executors",
            number: 0,
        }
    }

    fn decode_operator_record(&self, _: &KeyedRecord) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn decode_executor(&self, _: &str, _: &Bytes) -> Result<ExecutorEntry, DecodeError> {
        Err(DecodeError::new("this platform has no executors"))
    }

    fn advisor(&self) -> Option<Arc<dyn Advisor>> {
        None
    }

    fn executor_link(&self, _: &ExecutorId, _: SocketAddr) -> Arc<dyn ExecutorLink> {
        unreachable!("this platform has no executors")
    }
}

/// One scheduler process on a host, for a deployment with a single cell.
pub(crate) struct Process {
    pub(crate) address: SocketAddr,
    pub(crate) owned_cells: Arc<OwnedCells>,
    pub(crate) records: RecordRouter,
    pub(crate) owner_client: Arc<OwnerClient>,
    metrics: JobMetrics,
    health: Arc<StoreHealth>,
    draining: CancellationToken,
    candidate: JoinHandle<()>,
    kernel: Kernel,
}

impl Process {
    pub(crate) async fn start(store: &Arc<MemoryStore>, host: &str, incarnation: u64) -> Self {
        Self::start_on(store, host, incarnation, CpuMilli(100)).await
    }

    pub(crate) async fn start_on(
        store: &Arc<MemoryStore>,
        host: &str,
        incarnation: u64,
        cpu_milli: CpuMilli,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let store = Arc::clone(store) as Arc<dyn Store>;
        let health = Arc::new(StoreHealth::default());
        let job_metrics = JobMetrics::default();
        let tracked = TrackedStore::new(store, Arc::clone(&health), job_metrics.clone());
        let store: Arc<dyn Store> = Arc::new(tracked);
        let config = Arc::new(ActiveConfig::default());
        config.activate_if_newer(DeploymentConfig::default());
        let directory = Arc::new(OwnerDirectory::new(Arc::clone(&store), 1));
        let peers = Arc::new(PeerClient::default());
        let context = Arc::new(OwnerContext {
            platform: Arc::new(StoreOnlyPlatform(Arc::clone(&store))),
            store: Arc::clone(&store),
            health: Arc::clone(&health),
            config,
            operators: Arc::new(OperatorView::new(None)),
            directory: Arc::clone(&directory),
            settings: Arc::new(settings()),
            member: MemberName {
                host: host.into(),
                incarnation: Incarnation(incarnation),
                address,
                cpu_milli,
            },
            peers: Arc::clone(&peers),
            metrics: job_metrics.clone(),
            memory: MemoryAccount::new(MachineMemory::from_megabytes(160)),
        });
        let owned_cells = Arc::new(OwnedCells::default());
        let kernel = Kernel::default();
        let metrics = Arc::new(Metrics::default());
        kernel
            .registry()
            .provide::<Metrics>(names::METRICS, metrics);
        let server = PeerServer::with_listener(listener, PeerLimits::default());
        let started = kernel.start(Box::new(server)).await;
        started.expect("a peer server");
        let handlers = kernel
            .registry()
            .find::<PeerHandlers>(names::PEER_HANDLERS)
            .expect("a running peer server");
        let draining = CancellationToken::new();
        add_claim_handlers(&handlers, &context, &owned_cells, draining.clone());
        let writer = Arc::new(RecordWriter::new(store, Arc::clone(&health)));
        add_owner_handlers(&handlers, &owned_cells, &writer);
        let owner_client = Arc::new(OwnerClient::new(
            Arc::clone(&owned_cells),
            Arc::clone(&directory),
            peers,
            1,
            &kernel.memory(),
        ));
        let forwarder = Arc::clone(&owner_client) as Arc<dyn RecordForwarder>;
        tokio::spawn(directory.run());
        let candidate = Candidate::new(
            context,
            Arc::clone(&owned_cells),
            draining.clone(),
            HANDOVER_MAX,
        );
        Self {
            address,
            owned_cells,
            records: RecordRouter::new(writer, forwarder),
            owner_client,
            metrics: job_metrics,
            health,
            draining,
            candidate: tokio::spawn(candidate.run()),
            kernel,
        }
    }

    /// Returns whether this process owns the cell.
    pub(crate) fn owns(&self) -> bool {
        self.owned_cells.find(0).is_some()
    }

    /// Returns whether this process measures the store as slow.
    pub(crate) fn sees_slow_store(&self) -> bool {
        self.health.is_slow()
    }

    /// Returns the number of successful appends by this process.
    pub(crate) fn append_count(&self) -> u64 {
        let (kind, outcome) = ("append", "ok");
        let calls = &self.metrics.store_calls;
        calls.get_or_create(&OutcomeLabels { kind, outcome }).get()
    }

    /// Starts a graceful stop of the process.
    pub(crate) fn drain(&self) {
        self.draining.cancel();
    }

    /// Waits until the stopping process has handed its cell over.
    pub(crate) async fn wait_for_handover(self) {
        let ended = timeout(WAIT_MAX, self.candidate).await;
        ended.expect("an end in time").expect("no panic");
    }

    /// Ends the process without a handover.
    pub(crate) async fn kill(self) {
        self.candidate.abort();
        if let Some(owner) = self.owned_cells.find(0) {
            owner.release("killed");
        }
        self.kernel.stop(Duration::ZERO, Duration::ZERO).await;
    }
}

/// Waits until a condition holds; panics after [`WAIT_MAX`].
pub(crate) async fn eventually(condition: &str, holds: impl Fn() -> bool) {
    let waited = timeout(WAIT_MAX, async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "not within {WAIT_MAX:?}: {condition}");
}

/// Requests a process to claim the cell, as a stopping owner does. A refusal is ignored.
pub(crate) async fn request_claim(address: SocketAddr) {
    let cell = encode(&0_u32).expect("a number");
    let peers = PeerClient::default();
    let _ = peers.call(address, "claim-cell", cell, WAIT_MAX).await;
}

pub(crate) fn settings() -> CellSettings {
    CellSettings {
        cell_count: 1,
        lease: Duration::from_secs(6),
        renewal_hold: Duration::from_secs(1),
        order_timeout: Duration::from_millis(500),
        renewal_right: Duration::from_secs(60),
        commit_interval: Duration::from_millis(25),
        stop_max: Duration::from_millis(200),
        store_limits: StoreLimits::default(),
        executors_enforce_fences: true,
        retention: Duration::from_secs(180),
        early_max: Duration::ZERO,
        membership_ttl: Duration::from_millis(100),
        cold_limits: None,
        placement_wait: None,
    }
}
