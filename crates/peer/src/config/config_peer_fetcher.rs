use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_types::ids::Offset;
use rand::seq::SliceRandom;
use spdlog::warn;

use super::ConfigStore;
use super::ConfigView;
use super::STORE_NAME;
use super::fetch_config::fetch_config;
use crate::membership::MemberState;
use crate::membership::MembershipView;
use crate::rpc::PeerClient;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const QUERIED_PEERS_MAX: usize = 3;

/// Fetches the configuration from other daemons while the log does not deliver it.
///
/// Starts after membership, which lists the peers. Membership starts after `ConfigFollower`,
/// because heartbeats carry the configuration's offset.
pub struct ConfigPeerFetcher {
    seed_addresses: Vec<SocketAddr>,
}

impl ConfigPeerFetcher {
    /// Creates the service; the seeds are queried until a configuration is loaded.
    pub fn new(seed_addresses: Vec<SocketAddr>) -> Self {
        Self { seed_addresses }
    }
}

struct PeerFetch {
    seed_addresses: Vec<SocketAddr>,
    store: Arc<ConfigStore>,
    membership: Arc<dyn MembershipView>,
    client: Arc<PeerClient>,
}

#[async_trait]
impl Service for ConfigPeerFetcher {
    fn name(&self) -> &'static str {
        "config-peers"
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let registry = kernel.registry();
        let fetch = PeerFetch {
            seed_addresses: self.seed_addresses,
            store: registry.find::<ConfigStore>(STORE_NAME)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            client: registry.find::<PeerClient>(names::PEER_CLIENT)?,
        };
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            tokio::select! {
                () = stopping.cancelled() => {}
                () = fetch.run() => {}
            }
        });
        Ok(())
    }
}

impl PeerFetch {
    async fn run(&self) {
        let mut last_offset = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let own_offset = self.store.current().next_offset();
            let is_stalled = last_offset == Some(own_offset);
            last_offset = Some(own_offset);
            if is_stalled || !self.store.is_loaded() {
                self.fetch_from_peers(own_offset).await;
            }
        }
    }

    /// Queries a few of the daemons that report a newer configuration, in random order.
    async fn fetch_from_peers(&self, own_offset: Offset) {
        let mut addresses = self.candidates(own_offset);
        addresses.shuffle(&mut rand::rng());
        for address in addresses.into_iter().take(QUERIED_PEERS_MAX) {
            match fetch_config(&self.client, address, own_offset).await {
                Ok(Some(state)) => {
                    if self.store.adopt(state, "a peer") {
                        self.store.metrics().count_peer_adoption();
                    }
                    self.store.mark_loaded();
                    return;
                }
                Ok(None) => self
                    .store
                    .record_peer_failure(format!("{address} knows nothing newer")),
                Err(error) => {
                    warn!("config: can't fetch the configuration from {address}: {error}");
                    self.store.record_peer_failure(error.cause);
                }
            }
        }
    }

    fn candidates(&self, own_offset: Offset) -> Vec<SocketAddr> {
        let own_id = self.membership.own_id();
        let members = self.membership.members().into_iter();
        let ahead = members.filter(|member| {
            member.heartbeat.member != own_id
                && member.state != MemberState::Dead
                && member.heartbeat.config_offset > own_offset
        });
        let mut addresses: Vec<_> = ahead.map(|member| member.heartbeat.peer_address).collect();
        if !self.store.is_loaded() {
            addresses.extend(&self.seed_addresses);
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
