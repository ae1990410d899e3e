use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_state::config::Objective;
use dotterelhook_types::ids::ServiceName;
use tokio::time::Instant;

use super::BURN_WINDOWS;
use super::ServiceBurn;
use super::WindowBurn;

const BUCKET_LENGTH: Duration = Duration::from_secs(60);
const BUCKETS_MAX: usize = 24 * 60 + 1;

/// The counts of one minute since the tracker's start.
#[derive(Debug, Default)]
struct Bucket {
    number: u64,
    good: u64,
    bad_by_cause: Vec<(&'static str, u64)>,
}

#[derive(Debug)]
struct ServiceBuckets {
    objective: Objective,
    buckets: VecDeque<Bucket>,
}

/// One front's counts of good and bad answers over the last day, by service and minute.
#[derive(Debug)]
pub struct BurnTracker {
    started_at: Instant,
    services: Mutex<BTreeMap<ServiceName, ServiceBuckets>>,
}

impl Default for BurnTracker {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            services: Mutex::default(),
        }
    }
}

impl BurnTracker {
    /// Counts a request: as good if `cause` is `None`, else as bad with that cause.
    pub fn record(&self, service: &ServiceName, objective: Objective, cause: Option<&'static str>) {
        let number = self.bucket_number();
        let mut services = self.lock();
        if !services.contains_key(service) {
            let buckets = VecDeque::new();
            services.insert(service.clone(), ServiceBuckets { objective, buckets });
        }
        let Some(counted) = services.get_mut(service) else {
            return;
        };
        counted.objective = objective;
        let bucket = counted.bucket(number);
        match cause {
            None => bucket.good += 1,
            Some(cause) => bucket.add_bad(cause),
        }
    }

    /// Returns the counts of every service, summed over each window.
    pub fn report(&self) -> Vec<ServiceBurn> {
        let now = self.bucket_number();
        let services = self.lock();
        let reports = services.iter().map(|(service, counted)| ServiceBurn {
            service: service.clone(),
            objective: counted.objective,
            windows: BURN_WINDOWS
                .iter()
                .map(|window| counted.sum(*window, now))
                .collect(),
        });
        reports.collect()
    }

    fn bucket_number(&self) -> u64 {
        self.started_at.elapsed().as_secs() / BUCKET_LENGTH.as_secs()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceBuckets>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceBuckets {
    fn bucket(&mut self, number: u64) -> &mut Bucket {
        if self.buckets.back().is_none_or(|last| last.number != number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        if self.buckets.len() > BUCKETS_MAX {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn sum(&self, window: Duration, now: u64) -> WindowBurn {
        let window_s = window.as_secs();
        let first = (now + 1).saturating_sub(window_s / BUCKET_LENGTH.as_secs());
        let mut sum = WindowBurn {
            window_s,
            ..WindowBurn::default()
        };
        for bucket in self.buckets.iter().filter(|b| b.number >= first) {
            sum.good += bucket.good;
            sum.total += bucket.good;
            for (cause, count) in &bucket.bad_by_cause {
                sum.total += count;
                *sum.bad_by_cause.entry(Box::from(*cause)).or_default() += count;
            }
        }
        sum
    }
}

impl Bucket {
    fn add_bad(&mut self, cause: &'static str) {
        match self
            .bad_by_cause
            .iter_mut()
            .find(|(name, _)| *name == cause)
        {
            Some((_, count)) => *count += 1,
            None => self.bad_by_cause.push((cause, 1)),
        }
    }
}
