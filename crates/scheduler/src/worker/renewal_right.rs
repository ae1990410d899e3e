use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dotterelhook_borders::clock::Clock;
use dotterelhook_types::ids::Epoch;

/// Leader lease of a shard's owner: the right to start attempts and renew their leases.
///
/// The right expires a fixed time after the last contact with the log, so that a successor knows
/// when the former owner has stopped renewing.
pub(crate) struct RenewalRight {
    clock: Arc<dyn Clock>,
    epoch: Epoch,
    valid_until_ms: AtomicU64,
}

impl RenewalRight {
    /// Creates the right of an epoch; `valid_until_ms` is a time of the monotonic clock.
    pub(crate) fn new(clock: Arc<dyn Clock>, epoch: Epoch, valid_until_ms: u64) -> Self {
        Self {
            clock,
            epoch,
            valid_until_ms: AtomicU64::new(valid_until_ms),
        }
    }

    /// Returns the epoch of the ownership.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Extends the right; an earlier end is ignored.
    pub(crate) fn extend(&self, valid_until_ms: u64) {
        self.valid_until_ms
            .fetch_max(valid_until_ms, Ordering::SeqCst);
    }

    /// Returns whether the owner may start and renew now.
    pub(crate) fn is_valid(&self) -> bool {
        self.clock.monotonic_ms() < self.valid_until_ms.load(Ordering::SeqCst)
    }
}
