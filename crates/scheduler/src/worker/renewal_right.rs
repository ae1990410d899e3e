use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dotterelhook_borders::clock::Clock;
use dotterelhook_types::ids::Epoch;

/// Leader lease of a shard's owner: the right to start attempts and renew their leases.
///
/// The right expires a fixed time after the last read that reached the end of the log was sent, so that
/// a successor knows when the former owner has stopped renewing.
pub(crate) struct RenewalRight {
    clock: Arc<dyn Clock>,
    epoch: Epoch,
    valid_until_ms: AtomicU64,
}

impl RenewalRight {
    /// Creates the right of an epoch; it is not valid until it is extended.
    pub(crate) fn new(clock: Arc<dyn Clock>, epoch: Epoch) -> Self {
        Self {
            clock,
            epoch,
            valid_until_ms: AtomicU64::new(0),
        }
    }

    /// Returns the epoch of the ownership.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Extends the right to a time of the monotonic clock; an earlier end is ignored.
    pub(crate) fn extend(&self, valid_until_ms: u64) {
        self.valid_until_ms
            .fetch_max(valid_until_ms, Ordering::SeqCst);
    }

    /// Returns whether the owner may start and renew now.
    pub(crate) fn is_valid(&self) -> bool {
        self.clock.monotonic_ms() < self.valid_until_ms.load(Ordering::SeqCst)
    }
}
