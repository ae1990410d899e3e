use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// The number of recent jobs whose sizes are compared.
const JOBS_COVERED: usize = 200;
/// The number of jobs below which all jobs count as small.
const JOBS_MIN: usize = 20;
/// The number of new jobs after which the bounds are computed again.
const UPDATE_INTERVAL: usize = 10;
/// The share of the jobs that are small; the fifth above it is of middle size.
const SMALL_SHARE: f64 = 0.7;
/// The share of the jobs below the largest tenth.
const MIDDLE_SHARE: f64 = 0.9;

/// The size of a job among the recent jobs of its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SizeClass {
    /// Neither of the largest tenth nor of the fifth below it.
    #[default]
    Small,
    /// Of the fifth below the largest tenth.
    Middle,
    /// Of the largest tenth.
    Large,
}

/// The sizes of a queue's recent jobs.
#[derive(Clone, Debug, Default)]
pub struct JobSizes {
    recent: VecDeque<f64>,
    since_update: usize,
    /// The largest sizes of small jobs and of jobs of middle size.
    bounds: Option<(f64, f64)>,
}

impl JobSizes {
    /// Adds the work of a job that arrived.
    pub fn record(&mut self, work: f64) {
        if self.recent.len() == JOBS_COVERED {
            self.recent.pop_front();
        }
        self.recent.push_back(work);
        self.since_update += 1;
        if self.recent.len() >= JOBS_MIN
            && (self.bounds.is_none() || self.since_update >= UPDATE_INTERVAL)
        {
            self.since_update = 0;
            let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
            sorted.sort_by(f64::total_cmp);
            let at = |share: f64| sorted[((sorted.len() - 1) as f64 * share) as usize];
            self.bounds = Some((at(SMALL_SHARE), at(MIDDLE_SHARE)));
        }
    }

    /// Returns the largest sizes of small jobs and of jobs of middle size, once known.
    pub fn bounds(&self) -> Option<(f64, f64)> {
        self.bounds
    }

    /// Uses the bounds that a former owner found until enough jobs have arrived.
    pub fn restore(&mut self, bounds: Option<(f64, f64)>) {
        self.bounds = bounds.filter(|(small, middle)| small <= middle);
    }

    /// Returns the class of a job with the given work.
    pub fn class(&self, work: f64) -> SizeClass {
        match self.bounds {
            Some((_, middle_max)) if work > middle_max => SizeClass::Large,
            Some((small_max, _)) if work > small_max => SizeClass::Middle,
            _ => SizeClass::Small,
        }
    }
}
