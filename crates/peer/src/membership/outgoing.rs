use std::net::SocketAddr;
use std::sync::Arc;

use spdlog::warn;

use super::PeerFrame;
use super::encode;

/// A frame to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The frame.
    pub frame: Arc<[u8]>,
}

impl Outgoing {
    /// Encodes a frame once for all its receivers.
    pub(super) fn encode(frame: &PeerFrame, receivers: Vec<SocketAddr>) -> Vec<Self> {
        match encode(frame) {
            Ok(frame) => Self::encoded(&frame, receivers),
            Err(error) => {
                warn!("membership: can't encode a frame: {error}");
                Vec::new()
            }
        }
    }

    /// Sends an encoded frame to all its receivers.
    pub(super) fn encoded(frame: &[u8], receivers: Vec<SocketAddr>) -> Vec<Self> {
        let frame: Arc<[u8]> = frame.into();
        let outgoing = receivers.into_iter().map(|to| Self {
            to,
            frame: Arc::clone(&frame),
        });
        outgoing.collect()
    }
}
