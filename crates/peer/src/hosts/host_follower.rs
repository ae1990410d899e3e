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

/// Polls the platform's host list and provides it; keeps the last one while it can't be read.
pub struct HostFollower {
    host_list: Arc<dyn HostList>,
    poll_interval: Duration,
}

impl HostFollower {
    /// Creates a service that reads the list at the given interval.
    pub fn new(host_list: Arc<dyn HostList>, poll_interval: Duration) -> Self {
        Self {
            host_list,
            poll_interval,
        }
    }
}

struct Followed {
    snapshot: ArcSwap<HostSnapshot>,
    refusals: Refusals,
}

impl Followed {
    /// Reads the list once; a list that can't be read leaves the last one in use.
    async fn read(&self, host_list: &dyn HostList) {
        match host_list.read().await {
            Ok(newer) => self.take(newer),
            Err(error) => {
                let cause = format!("can't read the host list: {error}");
                self.refusals.add("unread", cause);
            }
        }
    }

    fn take(&self, newer: HostSnapshot) {
        let accepted = accept_list(&self.snapshot.load(), newer);
        for domain in &accepted.kept_domains {
            let cause = format!("all hosts of {domain} vanished from the list; they are kept");
            self.refusals.add("vanished", cause);
        }
        self.snapshot.store(Arc::new(accepted.snapshot));
    }
}

impl HostView for Followed {
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
        let followed = Arc::new(Followed {
            snapshot: ArcSwap::default(),
            refusals: Refusals::new("hosts"),
        });
        let metrics = kernel.registry().find::<Metrics>(names::METRICS)?;
        let help = "Reads of the host list that failed or were not believed";
        followed
            .refusals
            .register(&metrics, "host_list_reads_refused", help);
        kernel
            .registry()
            .provide::<dyn HostView>(names::HOSTS, followed.clone());
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            loop {
                followed.read(&*self.host_list).await;
                tokio::select! {
                    () = stopping.cancelled() => return,
                    () = tokio::time::sleep(self.poll_interval) => {}
                }
            }
        });
        Ok(())
    }
}
