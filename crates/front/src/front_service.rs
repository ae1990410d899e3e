use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Registry;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandlers;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::FrontSettings;
use crate::burn::BurnTracker;
use crate::forward::ByteBudget;
use crate::forward::CALL_NAME;
use crate::forward::ForwardHandler;
use crate::forward::Forwarder;
use crate::front::Front;
use crate::front_handler::FrontHandler;
use crate::idempotency::NOTE_CALL;
use crate::idempotency::NoteHandler;
use crate::limit::Admission;
use crate::metrics::FrontMetrics;
use crate::metrics::LossLog;
use crate::target::FrontCount;
use crate::target::TargetSet;
use crate::target_follower::TargetFollower;

/// What a running front tells other parts of the process.
#[derive(Debug)]
pub struct FrontHandle {
    /// Where callers connect.
    pub address: SocketAddr,
    /// The targets as the front uses them.
    pub targets: Arc<TargetSet>,
}

/// Takes callers' requests and passes them on to targets.
pub struct FrontService {
    settings: FrontSettings,
}

impl FrontService {
    /// Creates the service; nothing listens yet.
    pub fn new(settings: FrontSettings) -> Self {
        Self { settings }
    }
}

#[async_trait]
impl Service for FrontService {
    fn name(&self) -> &'static str {
        names::FRONT
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let registry = kernel.registry();
        let targets = self.targets();
        let metrics = Arc::new(FrontMetrics::default());
        metrics.register(&*registry.find::<Metrics>(names::METRICS)?);
        let follower = self.follower(registry, &targets, &metrics)?;
        let front = self.front(registry, &targets, metrics)?;
        add_peer_handlers(registry, &front)?;
        let server = HttpServer::bind(
            "front",
            self.settings.listen_address,
            self.settings.connections_max,
            Arc::new(FrontHandler { front }),
        )
        .await?;
        let address = server.local_address();
        registry.provide::<FrontHandle>(names::FRONT, Arc::new(FrontHandle { address, targets }));
        server.spawn(kernel);
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            tokio::select! {
                () = stopping.cancelled() => {}
                () = follower.run() => {}
            }
        });
        Ok(())
    }
}

impl FrontService {
    fn targets(&self) -> Arc<TargetSet> {
        Arc::new(TargetSet::new(
            self.settings.failure_domain.clone(),
            self.settings.policy,
            self.settings.fronts_max,
        ))
    }

    fn follower(
        &self,
        registry: &Registry,
        targets: &Arc<TargetSet>,
        metrics: &Arc<FrontMetrics>,
    ) -> eyre::Result<TargetFollower> {
        Ok(TargetFollower {
            hosts: registry.find::<dyn HostView>(names::HOSTS)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            targets: Arc::clone(targets),
            metrics: Arc::clone(metrics),
            fronts: FrontCount::new(self.settings.fronts_max, Instant::now()),
        })
    }

    fn front(
        &self,
        registry: &Registry,
        targets: &Arc<TargetSet>,
        metrics: Arc<FrontMetrics>,
    ) -> eyre::Result<Arc<Front>> {
        let settings = &self.settings;
        let burn = Arc::new(BurnTracker::default());
        registry.provide::<BurnTracker>(names::BURN, Arc::clone(&burn));
        Ok(Arc::new(Front {
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            forwarder: self.forwarder(registry)?,
            keys: Arc::default(),
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            targets: Arc::clone(targets),
            memory: Arc::new(Semaphore::new(settings.bodies_max_bytes)),
            admission: Arc::new(Admission::new(settings.requests_max)),
            metrics,
            burn,
            losses: LossLog::default(),
            settings: settings.clone(),
        }))
    }

    fn forwarder(&self, registry: &Registry) -> eyre::Result<Forwarder> {
        Ok(Forwarder {
            peers: registry.find::<PeerClient>(names::PEER_CLIENT)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            failure_domain: self.settings.failure_domain.clone(),
            budget: ByteBudget::new(self.settings.forward_bytes_per_second),
        })
    }
}

/// Lets other daemons pass on requests and note idempotency keys here.
fn add_peer_handlers(registry: &Registry, front: &Arc<Front>) -> eyre::Result<()> {
    let handler = ForwardHandler {
        front: Arc::clone(front),
    };
    let notes = NoteHandler {
        keys: Arc::clone(&front.keys),
    };
    let peer_handlers = registry.find::<PeerHandlers>(names::PEER_HANDLERS)?;
    peer_handlers.add(CALL_NAME, Arc::new(handler));
    peer_handlers.add(NOTE_CALL, Arc::new(notes));
    Ok(())
}
