//! Ports of the loopback address for processes that tests start.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// The number of ports that a test can use of one block.
pub const BLOCK_PORTS: u16 = 15;

/// A block holds one port more, which locks it.
const BLOCK_SIZE: u16 = BLOCK_PORTS + 1;
const FIRST_PORT: u16 = 10_000;
/// The lowest port that Linux assigns by itself, unless it is configured otherwise.
const DEFAULT_ASSIGNED_MIN: u16 = 32_768;
const ASSIGNED_RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// Ports that no other test uses until this value is dropped.
///
/// They lie below the ports that the system assigns to outgoing connections and to listeners on
/// port 0, so that a process can bind them at any later time, and again after a restart. A
/// listener on the first port of the block keeps other test processes away.
#[derive(Debug)]
pub struct ReservedPorts {
    first: u16,
    _lock: TcpListener,
}

impl ReservedPorts {
    /// Reserves a block of ports.
    ///
    /// # Panics
    /// All blocks are in use.
    #[must_use]
    pub fn reserve() -> Self {
        let blocks = (assigned_min().saturating_sub(FIRST_PORT)) / BLOCK_SIZE;
        // Test processes that start together search from different blocks.
        let offset = std::process::id() % u32::from(blocks.max(1));
        let candidates = (0..blocks).map(|index| (index + offset as u16) % blocks);
        candidates
            .map(|block| FIRST_PORT + block * BLOCK_SIZE)
            .find_map(Self::lock_block)
            .expect("a free block of ports")
    }

    /// Returns the address with the port `index` of the block, counted from 0.
    ///
    /// # Panics
    /// The block has fewer ports.
    #[must_use]
    pub fn address(&self, index: u16) -> SocketAddr {
        assert!(
            index < BLOCK_PORTS,
            "the block has {BLOCK_PORTS} ports, not {index}"
        );
        loopback(self.first + 1 + index)
    }

    fn lock_block(first: u16) -> Option<Self> {
        let lock = TcpListener::bind(loopback(first)).ok()?;
        // A service of this machine may use a port of the range without knowledge of the lock.
        let is_free = |port| {
            let address = loopback(port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        let all_free = (first + 1..first + BLOCK_SIZE).all(is_free);
        all_free.then_some(Self { first, _lock: lock })
    }
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Returns the lowest port that the system assigns by itself.
fn assigned_min() -> u16 {
    let range = fs::read_to_string(ASSIGNED_RANGE_FILE).unwrap_or_default();
    let min = range.split_whitespace().next();
    min.and_then(|min| min.parse().ok())
        .unwrap_or(DEFAULT_ASSIGNED_MIN)
}
