use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_types::ids::TargetId;
use rapidhash::v3::rapidhash_v3;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::FrontSettings;
use crate::burn::BurnBoard;
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
use crate::target::FrontView;
use crate::target::HealthState;
use crate::target::TargetSet;

const TARGETS_REFRESH: Duration = Duration::from_millis(200);

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
        let settings = self.settings;
        let targets = Arc::new(TargetSet::new(
            settings.failure_domain.clone(),
            settings.policy,
            settings.fronts_max,
        ));
        let metrics = Arc::new(FrontMetrics::default());
        metrics.register(&*registry.find::<Metrics>(names::METRICS)?);
        let burn = Arc::new(BurnBoard::default());
        registry.provide::<BurnBoard>(names::BURN, Arc::clone(&burn));
        let follower = TargetFollower {
            hosts: registry.find::<dyn HostView>(names::HOSTS)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            targets: Arc::clone(&targets),
            metrics: Arc::clone(&metrics),
            fronts: FrontCount::new(settings.fronts_max, Instant::now()),
        };
        let membership = registry.find::<dyn MembershipView>(names::MEMBERSHIP)?;
        let forwarder = Forwarder {
            peers: registry.find::<PeerClient>(names::PEER_CLIENT)?,
            membership: Arc::clone(&membership),
            failure_domain: settings.failure_domain.clone(),
            budget: ByteBudget::new(settings.forward_bytes_per_second),
        };
        let front = Arc::new(Front {
            membership,
            forwarder,
            keys: Arc::default(),
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            targets: Arc::clone(&targets),
            memory: Arc::new(Semaphore::new(settings.bodies_max_bytes)),
            admission: Arc::new(Admission::new(settings.requests_max)),
            metrics,
            burn,
            losses: LossLog::default(),
            settings: settings.clone(),
        });
        let handler = Arc::new(ForwardHandler {
            front: Arc::clone(&front),
        });
        let notes = Arc::new(NoteHandler {
            keys: Arc::clone(&front.keys),
        });
        let peer_handlers = registry.find::<PeerHandlers>(names::PEER_HANDLERS)?;
        peer_handlers.add(CALL_NAME, handler);
        peer_handlers.add(NOTE_CALL, notes);
        let server = HttpServer::bind(
            "front",
            settings.listen_address,
            settings.connections_max,
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

/// Keeps the targets up to date with the host list and the other fronts.
struct TargetFollower {
    hosts: Arc<dyn HostView>,
    membership: Arc<dyn MembershipView>,
    targets: Arc<TargetSet>,
    metrics: Arc<FrontMetrics>,
    fronts: FrontCount,
}

impl TargetFollower {
    async fn run(mut self) {
        loop {
            self.refresh();
            tokio::time::sleep(TARGETS_REFRESH).await;
        }
    }

    fn refresh(&mut self) {
        for target in self.targets.draining() {
            self.membership.report_draining(&target);
        }
        let view = self.fronts.update(self.front_view(), Instant::now());
        let hosts = self.hosts.current();
        self.targets.update(&hosts, &self.draining(), view);
        for (service, targets) in self.targets.services() {
            let pools = targets.pools();
            let is_ejected = |state| state != HealthState::Healthy;
            let ejected = pools.iter().filter(|pool| is_ejected(pool.state())).count();
            self.metrics
                .set_state(&service, targets.queue().waiting(), ejected);
        }
    }

    fn front_view(&self) -> FrontView {
        let own_id = self.membership.own_id();
        let peers = self.membership.live_peers(Role::Front);
        let mut names: Vec<MemberId> = peers
            .into_iter()
            .map(|peer| peer.heartbeat.member)
            .filter(|member| *member != own_id)
            .collect();
        let rank = names.iter().filter(|name| **name < own_id).count();
        names.push(own_id);
        names.sort();
        let text: Vec<String> = names.iter().map(ToString::to_string).collect();
        FrontView {
            fronts: names.len(),
            rank,
            names: rapidhash_v3(text.join(" ").as_bytes()),
            is_settled: false,
        }
    }

    /// Returns the targets that this or any other daemon saw draining.
    fn draining(&self) -> BTreeSet<TargetId> {
        let seen = self.membership.draining_targets().into_iter();
        seen.map(|draining| draining.target).collect()
    }
}
