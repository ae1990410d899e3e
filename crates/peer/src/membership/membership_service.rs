use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_platform::clock::Clock;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::TargetId;
use eyre::WrapErr;
use spdlog::warn;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use super::Heartbeat;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::MemberTable;
use super::MembershipView;
use super::decode;
use super::encode;
use crate::config::ConfigView;

const DATAGRAM_MAX_BYTES: usize = 60_000;
const DRAINING_KEPT_MS: u64 = 60_000;

/// What membership needs to know of its own daemon.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This daemon.
    pub member: MemberId,
    /// This process.
    pub incarnation: Incarnation,
    /// This daemon's failure domain.
    pub failure_domain: FailureDomain,
    /// Where heartbeats are taken.
    pub peer_address: SocketAddr,
    /// Where operators are answered.
    pub admin_address: SocketAddr,
    /// Where requests are taken.
    pub api_address: SocketAddr,
    /// Where heartbeats are sent besides to known members.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
}

/// Sends and takes heartbeats, and provides the members known.
pub struct MembershipService {
    settings: MembershipSettings,
}

impl MembershipService {
    /// Creates the service of one daemon.
    pub fn new(settings: MembershipSettings) -> Self {
        Self { settings }
    }
}

struct Membership {
    settings: MembershipSettings,
    clock: Arc<dyn Clock>,
    config: Arc<dyn ConfigView>,
    draining: CancellationToken,
    table: Mutex<MemberTable>,
    draining_targets: Mutex<BTreeMap<TargetId, u64>>,
}

impl Membership {
    fn table(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own_heartbeat(&self) -> Heartbeat {
        let now_ms = self.clock.monotonic_ms();
        let mut draining = self
            .draining_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        draining.retain(|_, seen_at_ms| now_ms.saturating_sub(*seen_at_ms) < DRAINING_KEPT_MS);
        Heartbeat {
            member: self.settings.member.clone(),
            incarnation: self.settings.incarnation,
            failure_domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peer_address,
            admin_address: self.settings.admin_address,
            api_address: self.settings.api_address,
            config_offset: self.config.current().next_offset(),
            log_contact_age_ms: self.config.log_contact_age_ms(),
            is_draining: self.draining.is_cancelled(),
            known_addresses: self.known_addresses(),
            draining_targets: draining.keys().cloned().collect(),
        }
    }

    async fn send(&self, socket: &UdpSocket) {
        let heartbeat = self.own_heartbeat();
        let now_ms = self.clock.monotonic_ms();
        self.table().hear(heartbeat.clone(), now_ms);
        self.table().forget_old(now_ms);
        let frame = match encode(&heartbeat) {
            Ok(frame) => frame,
            Err(error) => {
                warn!("membership: can't encode a heartbeat: {error}");
                return;
            }
        };
        for address in self.destinations() {
            // A lost heartbeat is made up for by the next one.
            let _ = socket.send_to(&frame, address).await;
        }
    }

    fn known_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let heard = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        heard.map(|member| member.heartbeat.peer_address).collect()
    }

    /// Returns the addresses of seeds, of known members and of those whom members know.
    fn destinations(&self) -> Vec<SocketAddr> {
        let mut addresses = self.settings.seed_addresses.clone();
        for member in self.members() {
            addresses.push(member.heartbeat.peer_address);
            if member.state != MemberState::Dead {
                addresses.extend(member.heartbeat.known_addresses);
            }
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.settings.peer_address);
        addresses
    }

    async fn receive(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            match decode::<Heartbeat>(&buffer[..length]) {
                Ok(heartbeat) => self.table().hear(heartbeat, self.clock.monotonic_ms()),
                Err(error) => warn!("membership: frame from {from} refused: {error}"),
            }
        }
    }
}

impl MembershipView for Membership {
    fn own_id(&self) -> MemberId {
        self.settings.member.clone()
    }

    fn members(&self) -> Vec<Member> {
        self.table().members(self.clock.monotonic_ms())
    }

    fn report_draining(&self, target: &TargetId) {
        let mut draining = self
            .draining_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        draining.insert(target.clone(), self.clock.monotonic_ms());
    }
}

#[async_trait]
impl Service for MembershipService {
    fn name(&self) -> &'static str {
        names::MEMBERSHIP
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let address = self.settings.peer_address;
        let socket = UdpSocket::bind(address)
            .await
            .wrap_err_with(|| format!("can't listen on {address}"))?;
        let interval = self.settings.heartbeat_interval;
        let membership = Arc::new(Membership {
            settings: self.settings,
            clock: kernel.registry().find::<dyn Clock>(names::CLOCK)?,
            config: kernel.registry().find::<dyn ConfigView>(names::CONFIG)?,
            draining: kernel.draining(),
            table: Mutex::default(),
            draining_targets: Mutex::default(),
        });
        kernel
            .registry()
            .provide::<dyn MembershipView>(names::MEMBERSHIP, membership.clone());
        let heartbeat = membership.own_heartbeat();
        membership
            .table()
            .hear(heartbeat, membership.clock.monotonic_ms());
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            let beat = async {
                loop {
                    membership.send(&socket).await;
                    tokio::time::sleep(interval).await;
                }
            };
            tokio::select! {
                () = stopping.cancelled() => membership.send(&socket).await,
                () = beat => {}
                () = membership.receive(&socket) => {}
            }
        });
        Ok(())
    }
}
