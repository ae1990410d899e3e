use std::sync::Arc;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::clock::SystemClock;
use dotterelhook_borders::hosts::HttpHostList;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_front::FrontService;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigFollower;
use dotterelhook_peer::config::ConfigPeerFetcher;
use dotterelhook_peer::hosts::HostFollower;
use dotterelhook_peer::membership::MembershipService;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerServer;
use dotterelhook_scheduler::SchedulerService;
use eyre::bail;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::admin::AdminService;
use crate::settings::DaemonSettings;

/// A daemon of an entry host: a front, a scheduler or both in one process.
pub(crate) struct Daemon {
    settings: DaemonSettings,
}

impl Daemon {
    /// Creates a daemon from checked settings without starting a service.
    pub(crate) fn new(settings: DaemonSettings) -> Self {
        Self { settings }
    }

    /// Serves until SIGTERM or SIGINT arrives, then drains and stops.
    ///
    /// # Errors
    /// A service can't start, or tasks are still running when the drain limit ends.
    pub(crate) fn run(self) -> eyre::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> eyre::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let unready_for = self.settings.unready_for;
        let drain_max = self.settings.drain_max;
        let kernel = self
            .settings
            .memory
            .map_or_else(Kernel::default, Kernel::new);
        self.start_services(&kernel).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = kernel.failed().cancelled_owned() => {
                bail!("a task that the daemon can't do without has panicked");
            }
        }
        if !kernel.stop(unready_for, drain_max).await {
            bail!("requests in flight did not finish within the drain limit of {drain_max:?}");
        }
        Ok(())
    }

    async fn start_services(self, kernel: &Kernel) -> eyre::Result<()> {
        let platform = &self.settings.platform;
        let registry = kernel.registry();
        registry.provide::<dyn Clock>(names::CLOCK, Arc::new(SystemClock::new()));
        registry.provide::<Metrics>(names::METRICS, Arc::new(Metrics::default()));
        let log = HttpLog::new(platform.log_address, platform.call_timeout);
        registry.provide::<dyn Log>(names::LOG, Arc::new(log));
        registry.provide::<PeerClient>(names::PEER_CLIENT, Arc::new(PeerClient::default()));
        let peer_address = self.settings.membership.peer_address;
        kernel
            .start(Box::new(PeerServer::new(peer_address)))
            .await?;
        kernel.start(Box::new(ConfigFollower)).await?;
        let failure_domain = self.settings.membership.failure_domain.clone();
        let host_list = HttpHostList::new(platform.host_list_address, platform.call_timeout)
            .for_failure_domain(failure_domain.clone());
        let hosts = HostFollower::new(Arc::new(host_list), platform.host_poll);
        kernel.start(Box::new(hosts)).await?;
        let seed_addresses = self.settings.membership.seed_addresses.clone();
        kernel
            .start(Box::new(MembershipService::new(self.settings.membership)))
            .await?;
        kernel
            .start(Box::new(ConfigPeerFetcher::new(seed_addresses)))
            .await?;
        if let Some(scheduler) = self.settings.scheduler {
            kernel
                .start(Box::new(SchedulerService::new(scheduler)))
                .await?;
        }
        if let Some(front) = self.settings.front {
            kernel.start(Box::new(FrontService::new(front))).await?;
        }
        kernel
            .start(Box::new(AdminService::new(
                self.settings.admin_address,
                failure_domain,
            )))
            .await
    }
}
