use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::worker::HttpWorkers;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_state::shard::ShardId;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;

use crate::api::RunApi;
use crate::api::RunApiContext;
use crate::interference::LearnedPairs;
use crate::interference::LearnedPairsSettings;
use crate::placement::FewestVictims;
use crate::placement::IndexedPlacer;
use crate::relocation::HttpDomains;
use crate::run_commands::RunLister;
use crate::run_commands::ShardChannels;
use crate::shard::LeaseTimes;
use crate::shard::ShardContext;
use crate::shard::ShardMetrics;
use crate::shard::new_shard_task;

/// Settings of the scheduler service.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Listen address of the run API.
    pub listen_address: SocketAddr,
    /// Limit on concurrent connections to the run API.
    pub connections_max: usize,
    /// The host that this process runs on.
    pub host: HostId,
    /// The incarnation of this process; greater than that of any earlier process on the host.
    pub incarnation: Incarnation,
    /// The failure domain whose workers this scheduler manages.
    pub failure_domain: FailureDomain,
    /// Number of shards of the failure domain; all its schedulers must use the same value.
    pub shard_count: u32,
    /// How long a worker may run an attempt without a renewal.
    pub lease: Duration,
    /// Interval between appends to one shard's stream.
    pub commit_interval: Duration,
    /// Timeout of one call to a worker.
    pub worker_timeout: Duration,
    /// The time after the request of an evacuation from which no attempt starts any more. Half of it
    /// limits the age of the configuration at starts; `None` for no limit.
    pub evacuation_bound: Option<Duration>,
}

/// Service that runs one task for each shard of the failure domain, and the run API.
pub struct SchedulerService {
    settings: SchedulerSettings,
}

impl SchedulerService {
    /// Creates the service; the listener is bound on start.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self { settings }
    }

    fn shard_context(
        &self,
        index: u32,
        kernel: &Kernel,
        metrics: &ShardMetrics,
    ) -> eyre::Result<ShardContext> {
        let registry = kernel.registry();
        let failure_domain = self.settings.failure_domain.clone();
        Ok(ShardContext {
            shard: ShardId {
                failure_domain,
                index,
            },
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            shard_count: self.settings.shard_count,
            lease_times: LeaseTimes::new(self.settings.lease),
            commit_interval: self.settings.commit_interval,
            log: registry.find::<dyn Log>(names::LOG)?,
            clock: registry.find::<dyn Clock>(names::CLOCK)?,
            hosts: registry.find::<dyn HostView>(names::HOSTS)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            worker_agents: Arc::new(HttpWorkers::new(self.settings.worker_timeout)),
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            view_age_max: self.settings.evacuation_bound.map(|bound| bound / 2),
            create_placer: || Box::new(IndexedPlacer::default()),
            create_controller: || Box::new(LearnedPairs::new(LearnedPairsSettings::default())),
            other_domains: Arc::new(HttpDomains::new(
                registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
                self.settings.failure_domain.clone(),
            )),
            eviction_policy: Arc::new(FewestVictims),
            metrics: metrics.clone(),
        })
    }
}

#[async_trait]
impl Service for SchedulerService {
    fn name(&self) -> &'static str {
        "scheduler"
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let metrics = ShardMetrics::default();
        let registered = kernel.registry().find::<Metrics>(names::METRICS)?;
        registered.register(|registry| metrics.register(registry));
        let mut shards = ShardChannels::default();
        for index in 0..self.settings.shard_count {
            let context = self.shard_context(index, kernel, &metrics)?;
            let shard = context.shard.clone();
            let (commands, task) = new_shard_task(context, kernel.stopping());
            shards.add(shard, commands);
            kernel.spawn(task);
        }
        let registry = kernel.registry();
        registry.provide::<dyn RunLister>(names::RUNS, Arc::new(shards.clone()));
        let api = Arc::new(RunApi::new(RunApiContext {
            failure_domain: self.settings.failure_domain,
            shard_count: self.settings.shard_count,
            shards,
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            clock: registry.find::<dyn Clock>(names::CLOCK)?,
        }));
        let address = self.settings.listen_address;
        let connections_max = self.settings.connections_max;
        HttpServer::bind("scheduler", address, connections_max, api)
            .await?
            .spawn(kernel);
        Ok(())
    }
}
