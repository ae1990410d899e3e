use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dotterelhook_borders::clock::Clock;
use dotterelhook_types::ids::Epoch;

/// An owner's right to start and renew: it ends a fixed time after the last contact with the log.
pub(crate) struct RenewalRight {
    clock: Arc<dyn Clock>,
    epoch: Epoch,
    valid_until_ms: AtomicU64,
}

impl RenewalRight {
    /// Creates the right of an epoch, valid until the given time of the monotonic clock.
    pub(crate) fn new(clock: Arc<dyn Clock>, epoch: Epoch, valid_until_ms: u64) -> Self {
        Self {
            clock,
            epoch,
            valid_until_ms: AtomicU64::new(valid_until_ms),
        }
    }

    /// Returns the epoch in which the owner acts.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Extends the right; it never gets shorter.
    pub(crate) fn extend(&self, valid_until_ms: u64) {
        self.valid_until_ms
            .fetch_max(valid_until_ms, Ordering::SeqCst);
    }

    /// Returns whether the owner may act now.
    pub(crate) fn is_valid(&self) -> bool {
        self.clock.monotonic_ms() < self.valid_until_ms.load(Ordering::SeqCst)
    }
}
