use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use dotterelhook_borders::hosts::HostList;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;

use super::HostView;
use super::accept_list;
use crate::refusals::Refusals;

/// Polls the platform's host list and provides the newest accepted one.
///
/// A failed read leaves the last accepted list in use.
pub struct HostFollower {
    host_list: Arc<dyn HostList>,
    poll_interval: Duration,
}

impl HostFollower {
    /// Creates a service that reads the list once per `poll_interval`.
    pub fn new(host_list: Arc<dyn HostList>, poll_interval: Duration) -> Self {
        Self {
            host_list,
            poll_interval,
        }
    }
}

struct AcceptedHosts {
    snapshot: ArcSwap<HostSnapshot>,
    refusals: Refusals,
}

impl AcceptedHosts {
    /// Reads the list once; a failed read leaves the current list unchanged.
    async fn refresh(&self, host_list: &dyn HostList) {
        match host_list.read().await {
            Ok(newer) => self.apply(newer),
            Err(error) => {
                let cause = format!("can't read the host list: {error}");
                self.refusals.record("unread", cause);
            }
        }
    }

    fn apply(&self, newer: HostSnapshot) {
        let accepted = accept_list(&self.snapshot.load(), newer);
        for domain in &accepted.retained_domains {
            let cause = format!(
                "new list lacks all targets or workers of {domain}; retaining the known ones"
            );
            self.refusals.record("vanished", cause);
        }
        self.snapshot.store(Arc::new(accepted.snapshot));
    }
}

impl HostView for AcceptedHosts {
    fn current(&self) -> Arc<HostSnapshot> {
        self.snapshot.load_full()
    }
}

#[async_trait]
impl Service for HostFollower {
    fn name(&self) -> &'static str {
        names::HOSTS
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let hosts = Arc::new(AcceptedHosts {
            snapshot: ArcSwap::default(),
            refusals: Refusals::new("hosts"),
        });
        let metrics = kernel.registry().find::<Metrics>(names::METRICS)?;
        let help = "Reads of the host list that failed or were not believed";
        hosts
            .refusals
            .register(&metrics, "host_list_reads_refused", help);
        kernel
            .registry()
            .provide::<dyn HostView>(names::HOSTS, hosts.clone());
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            loop {
                hosts.refresh(&*self.host_list).await;
                tokio::select! {
                    () = stopping.cancelled() => return,
                    () = tokio::time::sleep(self.poll_interval) => {}
                }
            }
        });
        Ok(())
    }
}
