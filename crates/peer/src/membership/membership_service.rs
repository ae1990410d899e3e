use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use eyre::WrapErr;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::MemberExchange;
use super::MembershipSettings;
use super::MembershipView;
use super::Outgoing;
use crate::config::ConfigView;

const DATAGRAM_MAX_BYTES: usize = 60_000;

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
        let registry = kernel.registry();
        let membership = Arc::new(MemberExchange::new(
            self.settings,
            registry.find::<dyn Clock>(names::CLOCK)?,
            registry.find::<dyn ConfigView>(names::CONFIG)?,
            kernel.draining(),
        ));
        membership.register(&*registry.find::<Metrics>(names::METRICS)?);
        registry.provide::<dyn MembershipView>(names::MEMBERSHIP, membership.clone());
        send(&membership, &socket, membership.beat()).await;
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            tokio::select! {
                () = stopping.cancelled() => {
                    send(&membership, &socket, membership.beat()).await;
                }
                () = beat(&membership, &socket) => {}
                () = receive(&membership, &socket) => {}
            }
        });
        Ok(())
    }
}

async fn beat(membership: &MemberExchange, socket: &UdpSocket) {
    let mut ticks = tokio::time::interval(membership.settings.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send(membership, socket, membership.beat()).await;
    }
}

async fn receive(membership: &MemberExchange, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram met a closed port; the socket goes on.
            tokio::task::yield_now().await;
            continue;
        };
        send(membership, socket, membership.take(from, &buffer[..length])).await;
    }
}

async fn send(membership: &MemberExchange, socket: &UdpSocket, outgoing: Vec<Outgoing>) {
    for Outgoing { to, frame } in outgoing {
        membership.traffic.sent(frame.len());
        // A lost frame is made up for by a later one.
        let _ = socket.send_to(&frame, to).await;
    }
}
