use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::ImageName;

/// How long past shares are kept; longer than figures reach back.
const KEPT: Duration = Duration::from_millis(1_500);

/// The parts of an executor's processors that fillers of each image worked with of late, 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct FillerHistory {
    changes: VecDeque<(Instant, BTreeMap<ImageName, f64>)>,
}

impl FillerHistory {
    /// Notes the shares from now on.
    pub fn record(&mut self, shares: BTreeMap<ImageName, f64>, now: Instant) {
        let is_known = self.changes.back().is_some_and(|(_, last)| *last == shares);
        if !is_known {
            self.changes.push_back((now, shares));
        }
        // The newest change that is too old tells what was true since.
        while self
            .changes
            .get(1)
            .is_some_and(|(until, _)| *until + KEPT < now)
        {
            self.changes.pop_front();
        }
    }

    /// Returns the mean share of each image over a span of time.
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
        let worked = means.into_iter().filter(|(_, share)| *share > 0.0);
        worked
            .map(|(image, share)| (image.clone(), share))
            .collect()
    }
}
