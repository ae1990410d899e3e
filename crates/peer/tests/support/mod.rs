//! A simulated network of memberships: real frames, no sockets, no wall clock.

#![allow(dead_code, unused_imports)]

mod network;

pub(crate) use network::Cut;
pub(crate) use network::Network;
