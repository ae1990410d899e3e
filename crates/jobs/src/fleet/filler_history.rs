use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::ImageName;

/// How long past shares are retained; longer than the time that a measurement covers.
const RETENTION: Duration = Duration::from_millis(2_500);
/// Smaller shares are left out of a mean.
const SHARE_MIN: f64 = 0.002;

/// The recent parts of an executor's processors that fillers of each image used, 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct FillerHistory {
    changes: VecDeque<(Instant, BTreeMap<ImageName, f64>)>,
}

impl FillerHistory {
    /// Records the shares that apply from now on.
    pub fn record(&mut self, shares: BTreeMap<ImageName, f64>, now: Instant) {
        let is_unchanged = self.changes.back().is_some_and(|(_, last)| *last == shares);
        if !is_unchanged {
            self.changes.push_back((now, shares));
        }
        // The newest change beyond the retention stays: its shares apply until the next change.
        while self
            .changes
            .get(1)
            .is_some_and(|(until, _)| *until + RETENTION < now)
        {
            self.changes.pop_front();
        }
    }

    /// Returns the mean share of each image up to a time, weighted by an exponential with a time
    /// constant; images without a share are left out.
    ///
    /// A tail follows the load with a delay: what waits in a queue is still to be served after a filler
    /// has stopped.
    pub fn weighted_mean(&self, until: Instant, time_constant: Duration) -> Vec<(ImageName, f64)> {
        let weight_until = |at: Instant| {
            let age_s = until.saturating_duration_since(at).as_secs_f64();
            (-age_s / time_constant.as_secs_f64()).exp()
        };
        let ends = self.changes.iter().skip(1).map(|(at, _)| *at);
        let mut means: BTreeMap<&ImageName, f64> = BTreeMap::new();
        for ((begin, shares), end) in self.changes.iter().zip(ends.chain([until])) {
            let weight = weight_until(end) - weight_until(*begin);
            for (image, share) in shares {
                *means.entry(image).or_default() += share * weight;
            }
        }
        let active = means.into_iter().filter(|(_, share)| *share > SHARE_MIN);
        active
            .map(|(image, share)| (image.clone(), share))
            .collect()
    }
}
