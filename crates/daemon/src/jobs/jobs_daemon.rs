use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelhook_adapter::JobApi;
use dotterelhook_adapter::UsersPlatform;
use dotterelhook_jobs::config::ActiveConfig;
use dotterelhook_jobs::config::ConfigFollower;
use dotterelhook_jobs::entry::CapacityAdmission;
use dotterelhook_jobs::entry::CapacitySource;
use dotterelhook_jobs::entry::EntryHandler;
use dotterelhook_jobs::entry::OwnerClient;
use dotterelhook_jobs::entry::ReadinessHandler;
use dotterelhook_jobs::entry::RecentJobs;
use dotterelhook_jobs::entry::RecordForwarder;
use dotterelhook_jobs::entry::RecordRouter;
use dotterelhook_jobs::entry::RecordWriter;
use dotterelhook_jobs::entry::RoomAdmission;
use dotterelhook_jobs::entry::RoomSource;
use dotterelhook_jobs::entry::add_owner_handlers;
use dotterelhook_jobs::evacuation::OperatorView;
use dotterelhook_jobs::observe::Decision;
use dotterelhook_jobs::observe::JobMetrics;
use dotterelhook_jobs::ownership::Candidate;
use dotterelhook_jobs::ownership::MemberName;
use dotterelhook_jobs::ownership::OwnedCells;
use dotterelhook_jobs::ownership::OwnerContext;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::ownership::add_claim_handlers;
use dotterelhook_jobs::platform::Platform;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_jobs::store_access::TrackedStore;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::names;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_peer::rpc::PeerServer;
use eyre::bail;
use spdlog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use super::JobsSettings;
use crate::settings::new_incarnation;

/// The part of a graceful stop that is reserved for leaving the group of hosts.
const LEAVE_GROUP_RESERVE: Duration = Duration::from_millis(500);
/// The largest number of concurrent connections to each of the ready and metrics addresses.
const ADMIN_CONNECTIONS_MAX: usize = 64;

/// A process that accepts clients' jobs and is a candidate for the ownership of cells.
pub(crate) struct JobsDaemon {
    settings: JobsSettings,
}

impl JobsDaemon {
    /// Creates a daemon from checked settings without starting a service.
    pub(crate) fn new(settings: JobsSettings) -> Self {
        Self { settings }
    }

    /// Serves until SIGTERM or SIGINT arrives, then hands the cells over and stops.
    ///
    /// The runtime has one thread: a host with a fraction of a core gains nothing from more.
    ///
    /// # Errors
    /// The runtime can't be built, an address can't be bound, or a planned stop cut off a call.
    pub(crate) fn run(self) -> eyre::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> eyre::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let unready_for = self.settings.unready_for;
        let drain_max = self.settings.drain_max;
        let kernel = self
            .settings
            .memory
            .map_or_else(Kernel::default, Kernel::new);
        self.start_services(&kernel).await?;
        let failed = kernel.failed();
        loop {
            tokio::select! {
                () = failed.cancelled() => {
                    bail!("a task that the daemon can't do without has panicked");
                }
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // SIGHUP reloads nothing: addresses and limits are fixed while the process lives.
                _ = hangup.recv() => info!("{}", Decision::Reloaded, kv: { outcome = "kept" }),
            }
        }
        info!("{}", Decision::Stopping);
        if !kernel.stop(unready_for, drain_max).await {
            bail!("calls in progress did not finish within the drain limit of {drain_max:?}");
        }
        Ok(())
    }

    async fn start_services(self, kernel: &Kernel) -> eyre::Result<()> {
        let settings = self.settings;
        let handover_max = settings
            .unready_for
            .saturating_add(settings.drain_max)
            .saturating_sub(LEAVE_GROUP_RESERVE);
        let incarnation = new_incarnation();
        info!("{}", Decision::Started, kv: {
            domain: = settings.failure_domain,
            incarnation: = incarnation,
        });
        let metrics = Arc::new(Metrics::default());
        let job_metrics = JobMetrics::default();
        job_metrics.register(&metrics);
        kernel.memory().metrics().register(&metrics);
        kernel
            .registry()
            .provide::<Metrics>(names::METRICS, Arc::clone(&metrics));
        let platform: Arc<dyn Platform> = Arc::new(UsersPlatform::new(
            settings.store_address,
            settings.advisor_address,
            settings.store_timeout,
        ));
        let health = Arc::new(StoreHealth::default());
        let store: Arc<dyn Store> = Arc::new(TrackedStore::new(
            platform.store(),
            Arc::clone(&health),
            job_metrics.clone(),
        ));
        let config = Arc::new(ActiveConfig::default());
        let operators = Arc::new(OperatorView::new(settings.evacuate_max));
        let cell_count = settings.cell.cell_count;
        let directory = Arc::new(OwnerDirectory::new(Arc::clone(&store), cell_count));
        let owned_cells = Arc::new(OwnedCells::default());
        let peers = Arc::new(PeerClient::default());
        let context = Arc::new(OwnerContext {
            platform: Arc::clone(&platform),
            store: Arc::clone(&store),
            health: Arc::clone(&health),
            config: Arc::clone(&config),
            operators: Arc::clone(&operators),
            directory: Arc::clone(&directory),
            settings: Arc::new(settings.cell),
            member: MemberName {
                host: settings.host,
                incarnation,
                address: settings.peer_address,
                cpu_milli: settings.cpu_milli,
            },
            peers: Arc::clone(&peers),
            metrics: job_metrics.clone(),
            memory: kernel.memory(),
        });

        let writer = RecordWriter::new(Arc::clone(&store), Arc::clone(&health));
        let writer = Arc::new(writer.with_limits(context.settings.store_limits));
        let peer_server = PeerServer::new(settings.peer_address);
        kernel.start(Box::new(peer_server)).await?;
        let handlers = kernel
            .registry()
            .find::<PeerHandlers>(names::PEER_HANDLERS)?;
        add_owner_handlers(&handlers, &owned_cells, &writer);
        add_claim_handlers(&handlers, &context, &owned_cells, kernel.draining());

        let ready = Arc::new(ReadinessHandler {
            config: Arc::clone(&config),
            health: Arc::clone(&health),
            silence_max: settings.entry.ready_silence_max,
            draining: kernel.draining(),
            metrics,
        });
        for (log_prefix, address) in [
            ("ready", settings.ready_address),
            ("metrics", settings.metrics_address),
        ] {
            let handler = Arc::clone(&ready) as Arc<dyn HttpHandler>;
            HttpServer::bind(log_prefix, address, ADMIN_CONNECTIONS_MAX, handler)
                .await?
                .spawn(kernel);
        }
        let owner_client = Arc::new(OwnerClient::new(
            Arc::clone(&owned_cells),
            Arc::clone(&directory),
            peers,
            cell_count,
            &kernel.memory(),
        ));
        let room = RoomAdmission::new(
            Arc::clone(&owner_client) as Arc<dyn RoomSource>,
            settings.entry.query_timeout,
        );
        let forwarder = Arc::clone(&owner_client) as Arc<dyn RecordForwarder>;
        let capacity = CapacityAdmission::new(
            Arc::clone(&owner_client) as Arc<dyn CapacitySource>,
            Arc::clone(&writer),
            Some((&*settings.failure_domain).into()),
            cell_count,
            settings.entry,
        );
        let entry = Arc::new(EntryHandler {
            protocol: Arc::new(JobApi),
            config: Arc::clone(&config),
            records: RecordRouter::new(Arc::clone(&writer), forwarder),
            owner_client,
            writer,
            settings: settings.entry,
            capacity,
            room,
            cell_count,
            metrics: job_metrics,
            recent: Mutex::new(RecentJobs::new(settings.entry.recent_retention)),
        });
        HttpServer::bind(
            "entry",
            settings.clients_address,
            settings.connections_max,
            entry,
        )
        .await?
        .spawn(kernel);

        let stopping = kernel.stopping();
        let follower = ConfigFollower::new(platform, store, config, operators).run();
        kernel.spawn(until_cancelled(stopping.clone(), follower));
        kernel.spawn(until_cancelled(stopping, directory.run()));
        kernel.spawn(Candidate::new(context, owned_cells, kernel.draining(), handover_max).run());
        Ok(())
    }
}

async fn until_cancelled(token: CancellationToken, task: impl Future<Output = ()>) {
    let _ = token.run_until_cancelled(task).await;
}
