use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::FairShares;
use super::JobSizes;
use super::LearnedFlows;
use super::SizeClass;
use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::FailureDomainName;
use crate::model::QueueName;
use crate::model::StepSpec;

/// Limits the queues in the stored record, which stays below 64 KiB with eleven failure domains.
const STORED_QUEUES_MAX: usize = 50;

/// What is known of the shares of a queue, for the next owner of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedShares {
    /// The queue.
    pub queue: QueueName,
    /// The largest work of small jobs and of jobs of middle size.
    pub size_bounds: Option<(f64, f64)>,
    /// The flows by failure domain of entry.
    pub by_domain: LearnedFlows<Option<FailureDomainName>>,
    /// The flows by size.
    pub by_size: LearnedFlows<SizeClass>,
}

/// The waiting work of a queue that is ahead in the order.
#[derive(Clone, Debug, Default)]
struct WorkAhead<'a> {
    by_domain: BTreeMap<Option<&'a FailureDomainName>, f64>,
    by_size: BTreeMap<SizeClass, f64>,
}

#[derive(Clone, Debug, Default)]
struct QueueShare {
    sizes: JobSizes,
    by_domain: FairShares<Option<FailureDomainName>>,
    by_size: FairShares<SizeClass>,
}

/// The shares of the capacity that parts of each queue take: the jobs that enter through one failure
/// domain, and the jobs of one size.
#[derive(Clone, Debug, Default)]
pub struct QueueShares {
    queues: BTreeMap<QueueName, QueueShare>,
}

impl QueueShares {
    /// Exports what is known of the shares.
    pub fn learned(&self, now_ms: u64) -> Vec<LearnedShares> {
        let queues = self.queues.iter().take(STORED_QUEUES_MAX);
        let learned = queues.map(|(name, queue)| LearnedShares {
            queue: name.clone(),
            size_bounds: queue.sizes.bounds(),
            by_domain: queue.by_domain.learned(now_ms),
            by_size: queue.by_size.learned(now_ms),
        });
        learned.collect()
    }

    /// Imports what a former owner knew.
    pub fn restore(&mut self, learned: Vec<LearnedShares>, now_ms: u64) {
        for learned in learned {
            let queue = self.queue_mut(&learned.queue);
            queue.sizes.restore(learned.size_bounds);
            queue.by_domain.restore(learned.by_domain, now_ms);
            queue.by_size.restore(learned.by_size, now_ms);
        }
    }

    /// Adds a job that arrived.
    pub fn record_arrival(&mut self, job: &Job, now_ms: u64) {
        if !is_counted(job) {
            return;
        }
        let work = job_work(job);
        let queue = self.queue_mut(&job.submission().queue.name);
        queue.sizes.record(work);
        let size = queue.sizes.class(work);
        let domain = &job.submission().entry_domain;
        queue.by_domain.record_arrival(domain, work, now_ms);
        queue.by_size.record_arrival(&size, work, now_ms);
    }

    /// Adds a placed task of a step.
    pub fn record_placed(&mut self, job: &Job, step: &StepSpec, now_ms: u64) {
        if !is_counted(job) {
            return;
        }
        let work = task_work(step);
        let queue = self.queue_mut(&job.submission().queue.name);
        let size = queue.sizes.class(job_work(job));
        let domain = &job.submission().entry_domain;
        queue.by_domain.record_served(domain, work, now_ms);
        queue.by_size.record_served(&size, work, now_ms);
    }

    /// Returns the excess level of a failure domain of entry, if `ahead` is its waiting work in
    /// thousandths of a core times milliseconds.
    pub fn domain_excess(
        &self,
        queue: &QueueName,
        domain: Option<&FailureDomainName>,
        ahead: f64,
        now_ms: u64,
    ) -> u32 {
        let queue = self.queues.get(queue);
        queue.map_or(0, |queue| {
            let domain = domain.cloned();
            queue.by_domain.excess_level(&domain, ahead, now_ms)
        })
    }

    /// Returns the excess level of each step, for steps in the order in which they would be placed.
    ///
    /// The level of a step is the higher one of its failure domain and its size.
    pub fn excess_levels<'a>(
        &self,
        steps: impl Iterator<Item = (&'a Job, StepRef)>,
        now_ms: u64,
    ) -> Vec<u32> {
        let mut ahead: BTreeMap<&QueueName, WorkAhead<'a>> = BTreeMap::new();
        let levels = steps.map(|(job, step_ref)| {
            let step = job.step(step_ref.step);
            let submission = job.submission();
            let Some(queue) = self.queues.get(&submission.queue.name) else {
                return 0;
            };
            if !is_counted(job) {
                return 0;
            }
            let size = queue.sizes.class(job_work(job));
            let domain = &submission.entry_domain;
            let ahead = ahead.entry(&submission.queue.name).or_default();
            let domain_ahead = ahead.by_domain.entry(domain.as_ref()).or_default();
            let size_ahead = ahead.by_size.entry(size).or_default();
            let by_domain = queue.by_domain.excess_level(domain, *domain_ahead, now_ms);
            let by_size = queue.by_size.excess_level(&size, *size_ahead, now_ms);
            let work = task_work(step) * f64::from(job.waiting_count(step_ref));
            *domain_ahead += work;
            *size_ahead += work;
            by_domain.max(by_size)
        });
        levels.collect()
    }

    fn queue_mut(&mut self, name: &QueueName) -> &mut QueueShare {
        self.queues.entry(name.clone()).or_default()
    }
}

/// Returns whether the shares cover a job: the work of recurring and long-running jobs does not arrive
/// with their submission.
fn is_counted(job: &Job) -> bool {
    let spec = &job.submission().spec;
    spec.schedule.is_none() && !spec.is_long_running()
}

/// Returns the estimated work of a task, in thousandths of a core times milliseconds.
fn task_work(step: &StepSpec) -> f64 {
    step.need.cpu_milli.0.max(1) as f64 * step.estimate_ms.max(1) as f64
}

/// Returns the estimated work of one occurrence of a job.
fn job_work(job: &Job) -> f64 {
    let steps = job.submission().spec.steps.iter();
    steps
        .map(|step| task_work(step) * f64::from(step.count))
        .sum()
}
