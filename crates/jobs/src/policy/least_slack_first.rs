use tokio::time::Instant;

use super::QueuePolicy;
use super::Rank;
use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::QueueConfig;

/// A job that takes longer than this multiple of its objective has no value for its client.
const EXPIRY_FACTOR: f64 = 3.0;

/// Ranks by the chance to meet the objective, then by priority, then by slack, least first.
///
/// Work of class 0 can still meet its objective. Work of class 1 is late, and work of class 2 is
/// too late to be of value. Long-running steps are of class 0 or 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastSlackFirst;

impl QueuePolicy for LeastSlackFirst {
    fn rank(&self, job: &Job, step_ref: StepRef, queue: &QueueConfig, now: Instant) -> Rank {
        let spec = &job.submission().spec;
        if job.step(step_ref.step).is_long_running {
            let age_ms = now.duration_since(job.accepted_at()).as_millis() as i64;
            let slack_ms = queue.target_latency_ms as i64 - age_ms;
            return Rank {
                class: u32::from(slack_ms < 0),
                priority: queue.priority,
                slack_ms,
            };
        }
        let critical_path_ms = critical_path_ms(job, |_| true);
        let remaining_ms = remaining_critical_path_ms(job, step_ref);
        let objective_ms = queue.stretch * critical_path_ms as f64 + queue.target_latency_ms as f64;
        let age_ms = match spec.schedule {
            // Each occurrence has a due time of its own, so the age of the job says nothing about
            // the newest occurrence.
            Some(_) => 0.0,
            None => now.duration_since(job.accepted_at()).as_millis() as f64,
        };
        let slack_ms = objective_ms - age_ms - remaining_ms as f64;
        let expiry_slack_ms = objective_ms * EXPIRY_FACTOR - age_ms - remaining_ms as f64;
        let class = if slack_ms >= 0.0 {
            0
        } else if expiry_slack_ms >= 0.0 {
            1
        } else {
            2
        };
        Rank {
            class,
            priority: queue.priority,
            slack_ms: slack_ms as i64,
        }
    }
}

/// Returns the sum of estimates along the critical path, in milliseconds; steps that are not
/// included count as 0 ms.
pub(super) fn critical_path_ms(job: &Job, is_included: impl Fn(u32) -> bool) -> u64 {
    let steps = &job.submission().spec.steps;
    let mut ends_ms = Vec::with_capacity(steps.len());
    for (number, step) in steps.iter().enumerate() {
        let predecessors = step.after.iter().map(|other| ends_ms[*other as usize]);
        let start_ms: u64 = predecessors.max().unwrap_or(0);
        let own_ms = if is_included(number as u32) {
            step.estimate_ms
        } else {
            0
        };
        ends_ms.push(start_ms + own_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}

/// Returns the critical path over the unfinished steps of an occurrence, in milliseconds.
pub(super) fn remaining_critical_path_ms(job: &Job, step_ref: StepRef) -> u64 {
    critical_path_ms(job, |step| {
        let other = StepRef { step, ..step_ref };
        job.done_count(other) < job.step(step).count
    })
}
