use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_platform::hosts::HostList;
use dotterelhook_platform::hosts::HostSnapshot;
use spdlog::warn;

use super::HostView;

/// Polls the platform's host list and provides it.
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

#[derive(Default)]
struct Followed {
    snapshot: ArcSwap<HostSnapshot>,
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
        let followed = Arc::new(Followed::default());
        kernel
            .registry()
            .provide::<dyn HostView>(names::HOSTS, followed.clone());
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            loop {
                match self.host_list.read().await {
                    Ok(snapshot) => followed.snapshot.store(Arc::new(snapshot)),
                    Err(error) => warn!("hosts: can't read the host list: {error}"),
                }
                tokio::select! {
                    () = stopping.cancelled() => return,
                    () = tokio::time::sleep(self.poll_interval) => {}
                }
            }
        });
        Ok(())
    }
}
