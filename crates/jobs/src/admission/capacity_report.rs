use std::fmt;
use std::time::Duration;

use dotterelhook_types::sizes::Resources;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::model::JobSpec;
use crate::model::QueueConfig;
use crate::model::QueueName;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::policy::EXPIRY_FACTOR;
use crate::policy::RunTimeRatio;

/// The age of a report above which it refuses nothing: a burst may have passed since.
pub const REPORT_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Added to what is ahead before a job counts as out of reach. Some of the jobs ahead will be cancelled,
/// or take less time than expected.
const MARGIN_FACTOR: f64 = 1.25;
/// The longest delay after which a refused client is asked to return.
const RETURN_MAX: Duration = Duration::from_secs(30);

/// The waiting work of a queue that goes before a new job, as the time that the executors need for it at
/// the current rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueBacklog {
    /// The queue.
    pub queue: QueueName,
    /// The time for the jobs that can still be in time, in milliseconds.
    pub in_time_ms: u64,
    /// The time for these and for those that are late, in milliseconds.
    pub all_ms: u64,
    /// The typical ratio of run times to estimates.
    pub typical_ratio: f64,
    /// The factor by which ratios differ from the typical one.
    pub ratio_spread: f64,
}

/// The free capacity of a pool of executors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// The pool.
    pub service: ServiceId,
    /// The most of each resource that is free on any executor that accepts tasks.
    pub most_free: Resources,
}

/// The capacity of a cell for new jobs from one failure domain, as its owner tells entry hosts.
///
/// A queue without an entry has no backlog, or its rate is not known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The queues whose work waits for capacity.
    pub backlogs: Vec<QueueBacklog>,
    /// The free capacity of each pool.
    pub pools: Vec<PoolCapacity>,
}

/// Why a job is refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityRefusal {
    /// The time that the jobs ahead and the job itself need.
    pub needed: Duration,
    /// The time after which the job has no value.
    pub limit: Duration,
    /// The time after which capacity is expected.
    pub wait: Duration,
}

impl fmt::Display for CapacityRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the jobs ahead and this one need {} ms, and after {} ms the job has no value",
            self.needed.as_millis(),
            self.limit.as_millis()
        )
    }
}

impl CapacityRefusal {
    /// Returns when the client should return: spread over the second half of the expected wait, so that
    /// the refused clients don't return at once.
    pub fn return_time(&self, shortest: Duration) -> Duration {
        let share: f64 = rand::rng().random_range(0.5..1.0);
        self.wait.mul_f64(share).clamp(shortest, RETURN_MAX)
    }
}

impl CapacityReport {
    /// Returns why a job can't be served within three times its objective, or `None` if it may be.
    ///
    /// Fillers, long-running and recurring jobs are never refused: the report doesn't tell their
    /// capacity. No job is refused while some task of it may fit on an executor.
    pub fn refusal(&self, spec: &JobSpec, queue: &QueueConfig) -> Option<CapacityRefusal> {
        let backlog = self
            .backlogs
            .iter()
            .find(|backlog| backlog.queue == queue.name)?;
        let pool = self
            .pools
            .iter()
            .find(|pool| pool.service == queue.service)?;
        let is_counted = |step: &StepSpec| !step.is_filler && !step.is_long_running;
        if spec.schedule.is_some() || !spec.steps.iter().all(is_counted) {
            return None;
        }
        let may_fit = |step: &StepSpec| step.reserved().fits_in(&pool.most_free);
        if spec.steps.iter().any(may_fit) {
            return None;
        }
        let run_time = RunTimeRatio {
            typical: backlog.typical_ratio,
            spread: backlog.ratio_spread,
        };
        let path_ms = spec.critical_path_ms(|_| true) as f64;
        // A long run time gives the job a late objective, and a short one needs little time.
        let longest_ms = path_ms.max(run_time.long_ms(path_ms));
        let shortest_ms = path_ms.min(run_time.short_ms(path_ms));
        let objective_ms = queue.stretch * longest_ms + queue.target_latency_ms as f64;
        let limit_ms = EXPIRY_FACTOR * objective_ms;
        let can_be_in_time = backlog.in_time_ms as f64 + shortest_ms <= objective_ms;
        let needed_ms = backlog.all_ms as f64 + shortest_ms;
        if can_be_in_time || needed_ms <= MARGIN_FACTOR * limit_ms {
            return None;
        }
        let duration = |ms: f64| Duration::from_millis(ms as u64);
        Some(CapacityRefusal {
            needed: duration(needed_ms),
            limit: duration(limit_ms),
            wait: duration(backlog.all_ms as f64),
        })
    }
}
