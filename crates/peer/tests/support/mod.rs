//! A simulated network of daemons with real frames, manual clocks and no sockets.

#![allow(dead_code, unused_imports)]

mod network;

pub(crate) use network::Cut;
pub(crate) use network::Network;
