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

use super::MembershipProtocol;
use super::MembershipSettings;
use super::MembershipView;
use super::OutgoingFrame;
use crate::config::ConfigView;

const DATAGRAM_MAX_BYTES: usize = 60_000;

/// Runs the membership protocol over a UDP socket and provides the membership view.
pub struct MembershipService {
    settings: MembershipSettings,
}

impl MembershipService {
    /// Creates a service that binds its socket when it starts.
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
        let membership = Arc::new(MembershipProtocol::new(
            self.settings,
            registry.find::<dyn Clock>(names::CLOCK)?,
            registry.find::<dyn ConfigView>(names::CONFIG)?,
            kernel.draining(),
        ));
        membership.register(&*registry.find::<Metrics>(names::METRICS)?);
        registry.provide::<dyn MembershipView>(names::MEMBERSHIP, membership.clone());
        send_frames(&membership, &socket, membership.tick()).await;
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            tokio::select! {
                () = stopping.cancelled() => {
                    send_frames(&membership, &socket, membership.tick()).await;
                }
                () = send_heartbeats(&membership, &socket) => {}
                () = receive_frames(&membership, &socket) => {}
            }
        });
        Ok(())
    }
}

async fn send_heartbeats(membership: &MembershipProtocol, socket: &UdpSocket) {
    let mut ticks = tokio::time::interval(membership.settings.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send_frames(membership, socket, membership.tick()).await;
    }
}

async fn receive_frames(membership: &MembershipProtocol, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error reports an earlier datagram to a closed port; the socket stays usable.
            tokio::task::yield_now().await;
            continue;
        };
        send_frames(
            membership,
            socket,
            membership.handle_frame(from, &buffer[..length]),
        )
        .await;
    }
}

async fn send_frames(
    membership: &MembershipProtocol,
    socket: &UdpSocket,
    outgoing: Vec<OutgoingFrame>,
) {
    for OutgoingFrame { to, frame } in outgoing {
        membership.traffic.count_sent(frame.len());
        // A send error is ignored, because later frames make up for a lost one.
        let _ = socket.send_to(&frame, to).await;
    }
}
