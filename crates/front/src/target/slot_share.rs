use std::collections::VecDeque;
use std::time::Duration;

use dotterelhook_types::ids::TargetId;
use rapidhash::v3::rapidhash_v3;
use tokio::time::Instant;

/// The time in which every front observes a change of the group.
///
/// A changed group counts only after this time, unless the change lowers the share.
pub const HOLD_DOWN: Duration = Duration::from_secs(8);

/// The live fronts of a failure domain, as one front observes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontGroup {
    /// The number of fronts, this one included.
    pub size: usize,
    /// This front's position in the order of their names, from zero.
    pub rank: usize,
    /// A hash of the fronts' names, which distinguishes groups of equal size.
    pub names_hash: u64,
    /// Whether the group was unchanged for the hold-down time, so that all its fronts observe it.
    pub is_settled: bool,
}

/// Returns a front's share of a target's slots.
///
/// While all fronts use the same settled group, the shares of one target add up to its slots.
/// In an unsettled group, the remainder of the division is left unused.
pub fn slot_share(slots: usize, target: &TargetId, group: FrontGroup) -> usize {
    let fronts = group.size.max(1);
    if !group.is_settled {
        return slots / fronts;
    }
    // The hash of the target spreads the remainders of many targets over the fronts.
    let rotation = rapidhash_v3(target.to_string().as_bytes()) as usize % fronts;
    let position = (group.rank + rotation) % fronts;
    slots / fronts + usize::from(position < slots % fronts)
}

/// Tracks the group of fronts so that shares fall at once and rise only after the hold-down time.
#[derive(Debug)]
pub struct FrontGroupTracker {
    started_at: Instant,
    fronts_max: usize,
    recent: VecDeque<(Instant, FrontGroup)>,
}

impl FrontGroupTracker {
    /// Creates the tracker of a front that starts now.
    ///
    /// The tracker assumes at least `fronts_max` fronts for the first [`HOLD_DOWN`].
    pub fn new(fronts_max: usize, now: Instant) -> Self {
        Self {
            started_at: now,
            fronts_max,
            recent: VecDeque::new(),
        }
    }

    /// Records the group observed now and returns the group to compute shares with.
    pub fn observe(&mut self, observed: FrontGroup, now: Instant) -> FrontGroup {
        if self.recent.back().is_none_or(|(_, last)| *last != observed) {
            self.recent.push_back((now, observed));
        }
        // The newest group older than the hold-down was still observed when the hold-down began.
        while self.recent.len() > 1 && now.duration_since(self.recent[1].0) >= HOLD_DOWN {
            self.recent.pop_front();
        }
        let is_new = now.duration_since(self.started_at) < HOLD_DOWN;
        let size_min = if is_new { self.fronts_max } else { 1 };
        let size_max = self.recent.iter().map(|(_, group)| group.size).max();
        FrontGroup {
            size: size_max.unwrap_or(1).max(size_min),
            rank: observed.rank,
            names_hash: observed.names_hash,
            is_settled: !is_new && self.recent.len() == 1,
        }
    }
}
