use std::collections::VecDeque;
use std::time::Duration;

use dotterelhook_types::ids::TargetId;
use rapidhash::v3::rapidhash_v3;
use tokio::time::Instant;

/// The time in which every front hears of a change: a view counts only after it has held this long, unless it lowers the share.
pub const HOLD: Duration = Duration::from_secs(8);

/// The fronts of a failure domain as one of them counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontView {
    /// The number of fronts, at least one.
    pub fronts: usize,
    /// This front's place among them, from zero.
    pub rank: usize,
    /// A hash of the fronts' names, which tells views of one size apart.
    pub names: u64,
    /// Whether this view has held for long, so that the other fronts hold it too.
    pub is_settled: bool,
}

/// Returns a front's share of a target's slots.
///
/// While all fronts hold the same settled view, the shares of one target sum up to its slots;
/// in a view that isn't settled the odd slots belong to nobody.
pub fn share(slots: usize, target: &TargetId, view: FrontView) -> usize {
    let fronts = view.fronts.max(1);
    if !view.is_settled {
        return slots / fronts;
    }
    // Each target gives its odd slots to other fronts.
    let turn = rapidhash_v3(target.to_string().as_bytes()) as usize % fronts;
    let place = (view.rank + turn) % fronts;
    slots / fronts + usize::from(place < slots % fronts)
}

/// Counts the fronts so that a share falls at once and rises late.
#[derive(Debug)]
pub struct FrontCount {
    started_at: Instant,
    fronts_max: usize,
    seen: VecDeque<(Instant, FrontView)>,
}

impl FrontCount {
    /// Creates the count of a front that starts now; it first assumes the most fronts.
    pub fn new(fronts_max: usize, now: Instant) -> Self {
        Self {
            started_at: now,
            fronts_max,
            seen: VecDeque::new(),
        }
    }

    /// Takes in the fronts seen now and returns the view to use.
    pub fn update(&mut self, seen: FrontView, now: Instant) -> FrontView {
        if self.seen.back().is_none_or(|(_, last)| *last != seen) {
            self.seen.push_back((now, seen));
        }
        // The newest view older than the hold was still seen when the hold began.
        while self.seen.len() > 1 && now.duration_since(self.seen[1].0) >= HOLD {
            self.seen.pop_front();
        }
        let is_new = now.duration_since(self.started_at) < HOLD;
        let least = if is_new { self.fronts_max } else { 1 };
        let most_seen = self.seen.iter().map(|(_, view)| view.fronts).max();
        FrontView {
            fronts: most_seen.unwrap_or(1).max(least),
            rank: seen.rank,
            names: seen.names,
            is_settled: !is_new && self.seen.len() == 1,
        }
    }
}
