use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::ImageName;

/// How long past shares are retained; longer than the time that a measurement covers.
const RETENTION: Duration = Duration::from_millis(1_500);

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

    /// Returns the time-weighted mean share of each image over a span of time; images without a
    /// share are left out.
    pub fn mean(&self, from: Instant, until: Instant) -> Vec<(ImageName, f64)> {
        let span_s = until.saturating_duration_since(from).as_secs_f64();
        let ends = self.changes.iter().skip(1).map(|(at, _)| *at);
        let mut means: BTreeMap<&ImageName, f64> = BTreeMap::new();
        for ((begin, shares), end) in self.changes.iter().zip(ends.chain([until])) {
            let begin = (*begin).max(from);
            let part_s = end
                .min(until)
                .saturating_duration_since(begin)
                .as_secs_f64();
            for (image, share) in shares {
                *means.entry(image).or_default() += share * part_s / span_s.max(f64::EPSILON);
            }
        }
        let active = means.into_iter().filter(|(_, share)| *share > 0.0);
        active
            .map(|(image, share)| (image.clone(), share))
            .collect()
    }
}
