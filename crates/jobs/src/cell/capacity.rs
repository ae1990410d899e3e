use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;

use super::CellState;
use super::planning::WaitingStep;
use crate::admission::CapacityReport;
use crate::admission::PoolCapacity;
use crate::admission::QueueBacklog;
use crate::fleet::Executor;
use crate::ledger::Job;
use crate::model::FailureDomainName;
use crate::model::QueueConfig;
use crate::model::ServiceId;

/// The time after a takeover in which no backlog is reported. The executors have to answer, and until
/// the shares of the failure domains are known, a burst seems to go before the jobs of all others.
const REPORT_DELAY: Duration = Duration::from_millis(10_000);
/// The class of work that has no value any more; it goes after any new job.
const WORTHLESS_CLASS: u32 = 2;

/// One waiting step, as it counts for the backlogs.
struct WaitingWork<'a> {
    step: &'a WaitingStep,
    job: &'a Job,
    service: ServiceId,
    /// The expected work of the waiting tasks, in thousandths of a core times milliseconds.
    work: f64,
}

/// The capacity for new jobs.
impl CellState {
    /// Returns the capacity for new jobs that enter through a failure domain.
    ///
    /// The work ahead of a new job is what has a better rank now, and as long as both have value: work
    /// of a higher priority, and work of the same priority with no more excess. Capacity drains at the
    /// rate of the processors that tasks hold which will end.
    pub fn capacity_report(
        &self,
        domain: Option<&FailureDomainName>,
        now: Instant,
    ) -> CapacityReport {
        let mut report = CapacityReport {
            backlogs: Vec::new(),
            pools: self.pool_capacities(now),
        };
        if self.elapsed_ms(now) < REPORT_DELAY.as_millis() as u64 {
            return report;
        }
        let waiting = self.waiting_steps(now);
        let works: Vec<WaitingWork<'_>> = waiting
            .iter()
            .filter_map(|step| self.waiting_work(step))
            .collect();
        let mut queues: BTreeMap<_, QueueConfig> = BTreeMap::new();
        for work in &works {
            let queue = Self::queue_config(&self.config, work.job);
            queues.insert(queue.name.clone(), queue.as_ref().clone());
        }
        let drain_rates = self.drain_rates();
        for (name, queue) in queues {
            let Some(drain_rate) = drain_rates.get(&queue.service).copied() else {
                continue;
            };
            let is_of_domain = |work: &&WaitingWork<'_>| {
                let submission = work.job.submission();
                let is_same_part =
                    submission.queue.name == name && submission.entry_domain.as_ref() == domain;
                is_same_part && work.step.rank.class == 0
            };
            let own_work = works
                .iter()
                .filter(is_of_domain)
                .map(|work| work.work)
                .sum();
            let excess = self
                .shares
                .domain_excess(&name, domain, own_work, self.elapsed_ms(now));
            let ahead = |class_max: u32| {
                let is_ahead = |work: &&WaitingWork<'_>| {
                    let rank = work.step.rank;
                    let goes_first = rank.priority < queue.priority
                        || rank.priority == queue.priority && rank.excess <= excess;
                    work.service == queue.service && rank.class <= class_max && goes_first
                };
                let work: f64 = works.iter().filter(is_ahead).map(|work| work.work).sum();
                (work / drain_rate) as u64
            };
            let run_time = self.run_times.cautious_ratio(&name);
            report.backlogs.push(QueueBacklog {
                queue: name,
                in_time_ms: ahead(0),
                all_ms: ahead(WORTHLESS_CLASS - 1),
                typical_ratio: run_time.typical,
                ratio_spread: run_time.spread,
            });
        }
        report
    }

    /// Returns the expected work of a waiting step, or `None` for fillers, which reserve no processors,
    /// and for long-running tasks, which don't end.
    fn waiting_work<'a>(&'a self, step: &'a WaitingStep) -> Option<WaitingWork<'a>> {
        let job = self.ledger.job(step.job)?;
        let spec = job.step(step.step_ref.step);
        if spec.is_filler || spec.is_long_running {
            return None;
        }
        let queue = Self::queue_config(&self.config, job);
        // The error of learned estimates cancels out over many tasks.
        let estimate_ms = spec.estimate_ms as f64;
        let task_ms = match self.run_times.known_ratio(&queue.name) {
            Some(known) => known.expected_ms(estimate_ms),
            None => {
                let cautious = self.run_times.cautious_ratio(&queue.name);
                cautious.short_ms(estimate_ms)
            }
        };
        let tasks = f64::from(job.waiting_count(step.step_ref));
        Some(WaitingWork {
            step,
            job,
            service: queue.service.clone(),
            work: spec.need.cpu_milli.0 as f64 * task_ms * tasks,
        })
    }

    /// Returns the processors that tasks which will end hold in each pool, in thousandths of a core.
    fn drain_rates(&self) -> BTreeMap<ServiceId, f64> {
        let mut rates = BTreeMap::new();
        for executor in self.executors.values() {
            let ending = executor.runs().iter().filter(|(task, view)| {
                let job = self.ledger.job(task.job);
                !view.is_filler() && job.is_none_or(|job| !job.step(task.step).is_long_running)
            });
            let held_milli: u64 = ending.map(|(_, view)| view.reserved.cpu_milli.0).sum();
            if held_milli > 0 {
                *rates.entry(executor.entry.service.clone()).or_default() += held_milli as f64;
            }
        }
        rates
    }

    fn pool_capacities(&self, now: Instant) -> Vec<PoolCapacity> {
        // Executors that are silent for a moment count, since they may be free. Those that are only listed
        // may not exist.
        let may_accept = |executor: &Executor| {
            executor.has_answered()
                && executor.is_described(now)
                && !executor.listing.is_gone(now)
                && self.may_start_on(executor, now)
                && !executor.entry.phase.is_draining()
                && !executor.health.is_backing_off(now)
        };
        let mut pools: BTreeMap<&ServiceId, Resources> = BTreeMap::new();
        for executor in self.executors.values() {
            let most_free = pools.entry(&executor.entry.service).or_default();
            if may_accept(executor) {
                let free = executor.free();
                most_free.cpu_milli = most_free.cpu_milli.max(free.cpu_milli);
                most_free.memory_mb = most_free.memory_mb.max(free.memory_mb);
                most_free.accelerators = most_free.accelerators.max(free.accelerators);
            }
        }
        let pools = pools.into_iter();
        pools
            .map(|(service, most_free)| PoolCapacity {
                service: service.clone(),
                most_free,
            })
            .collect()
    }
}
