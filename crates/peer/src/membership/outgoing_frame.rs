use std::net::SocketAddr;
use std::sync::Arc;

use spdlog::warn;

use super::PeerFrame;
use super::encode;

/// An encoded frame and the address that receives it.
#[derive(Clone, Debug)]
pub struct OutgoingFrame {
    /// The receiver's peer address.
    pub to: SocketAddr,
    /// The encoded frame, shared by all receivers.
    pub frame: Arc<[u8]>,
}

impl OutgoingFrame {
    /// Encodes a frame once for all receivers; logs and drops a frame that can't be encoded.
    pub(super) fn encode(frame: &PeerFrame, receivers: Vec<SocketAddr>) -> Vec<Self> {
        match encode(frame) {
            Ok(frame) => Self::from_encoded(&frame, receivers),
            Err(error) => {
                warn!("membership: can't encode an outgoing frame: {error}");
                Vec::new()
            }
        }
    }

    /// Addresses an encoded frame to each receiver.
    pub(super) fn from_encoded(frame: &[u8], receivers: Vec<SocketAddr>) -> Vec<Self> {
        let frame: Arc<[u8]> = frame.into();
        let outgoing = receivers.into_iter().map(|to| Self {
            to,
            frame: Arc::clone(&frame),
        });
        outgoing.collect()
    }
}
