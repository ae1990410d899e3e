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
use crate::forward::FORWARD_CALL;
use crate::forward::ForwardHandler;
use crate::forward::Forwarder;
use crate::front::Front;
use crate::front_handler::FrontHandler;
use crate::idempotency::CLAIM_KEY_CALL;
use crate::idempotency::KeyClaimHandler;
use crate::limit::AdmissionControl;
use crate::metrics::FrontMetrics;
use crate::metrics::LossLog;
use crate::target::FrontGroupTracker;
use crate::target::TargetSet;
use crate::target_refresher::TargetRefresher;

/// A running front, as other services of the process find it in the registry.
#[derive(Debug)]
pub struct FrontHandle {
    /// The address on which the front accepts callers' connections.
    pub address: SocketAddr,
    /// The front's targets by service, refreshed while the front runs.
    pub targets: Arc<TargetSet>,
}

/// Accepts callers' HTTP requests and sends them to targets.
pub struct FrontService {
    settings: FrontSettings,
}

impl FrontService {
    /// Creates the service; the listener is opened when the service starts.
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
        let targets = self.new_target_set();
        let metrics = Arc::new(FrontMetrics::default());
        metrics.register(&*registry.find::<Metrics>(names::METRICS)?);
        let refresher = self.new_refresher(registry, &targets, &metrics)?;
        let front = self.new_front(registry, &targets, metrics)?;
        register_peer_handlers(registry, &front)?;
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
                () = refresher.run() => {}
            }
        });
        Ok(())
    }
}

impl FrontService {
    fn new_target_set(&self) -> Arc<TargetSet> {
        Arc::new(TargetSet::new(
            self.settings.failure_domain.clone(),
            self.settings.policy,
            self.settings.fronts_max,
        ))
    }

    fn new_refresher(
        &self,
        registry: &Registry,
        targets: &Arc<TargetSet>,
        metrics: &Arc<FrontMetrics>,
    ) -> eyre::Result<TargetRefresher> {
        Ok(TargetRefresher {
            hosts: registry.find::<dyn HostView>(names::HOSTS)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            targets: Arc::clone(targets),
            metrics: Arc::clone(metrics),
            front_group: FrontGroupTracker::new(self.settings.fronts_max, Instant::now()),
        })
    }

    fn new_front(
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
            forwarder: self.new_forwarder(registry)?,
            key_table: Arc::default(),
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            targets: Arc::clone(targets),
            body_memory: Arc::new(Semaphore::new(settings.bodies_max_bytes)),
            admission: Arc::new(AdmissionControl::new(settings.requests_max)),
            metrics,
            burn,
            loss_log: LossLog::default(),
            settings: settings.clone(),
        }))
    }

    fn new_forwarder(&self, registry: &Registry) -> eyre::Result<Forwarder> {
        Ok(Forwarder {
            peers: registry.find::<PeerClient>(names::PEER_CLIENT)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            failure_domain: self.settings.failure_domain.clone(),
            byte_budget: ByteBudget::new(self.settings.forward_bytes_per_second),
        })
    }
}

/// Serves other fronts' calls to forward requests and to claim idempotency keys.
fn register_peer_handlers(registry: &Registry, front: &Arc<Front>) -> eyre::Result<()> {
    let handler = ForwardHandler {
        front: Arc::clone(front),
    };
    let claims = KeyClaimHandler {
        key_table: Arc::clone(&front.key_table),
    };
    let peer_handlers = registry.find::<PeerHandlers>(names::PEER_HANDLERS)?;
    peer_handlers.add(FORWARD_CALL, Arc::new(handler));
    peer_handlers.add(CLAIM_KEY_CALL, Arc::new(claims));
    Ok(())
}
