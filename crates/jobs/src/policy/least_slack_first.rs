use super::QueuePolicy;
use super::Rank;
use super::RankContext;
use crate::ledger::Job;
use crate::ledger::StepRef;

/// A job that takes longer than this multiple of its objective has no value for its client.
pub const EXPIRY_FACTOR: f64 = 3.0;

/// Ranks by the chance to meet the objective, then by priority, then by slack, least first. The
/// excess of a step, which goes before the slack, depends on other jobs and is left at 0.
///
/// Work of class 0 can still meet its objective. Work of class 1 is late, and work of class 2 is
/// too late to be of value. Long-running steps are of class 0 or 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastSlackFirst;

impl QueuePolicy for LeastSlackFirst {
    fn rank(&self, job: &Job, step_ref: StepRef, context: &RankContext<'_>) -> Rank {
        let RankContext {
            queue,
            run_time,
            now,
        } = *context;
        let spec = &job.submission().spec;
        if job.step(step_ref.step).is_long_running {
            let age_ms = now.duration_since(job.accepted_at()).as_millis() as i64;
            let slack_ms = queue.target_latency_ms as i64 - age_ms;
            return Rank {
                class: u32::from(slack_ms < 0),
                priority: queue.priority,
                excess: 0,
                slack_ms,
            };
        }
        // The objective follows from the actual run times, as the remaining time does.
        let critical_path_ms = run_time.expected_ms(spec.critical_path_ms(|_| true) as f64);
        let remaining_estimate_ms = remaining_critical_path_ms(job, step_ref) as f64;
        let remaining_ms = run_time.expected_ms(remaining_estimate_ms);
        let objective_ms = queue.stretch * critical_path_ms + queue.target_latency_ms as f64;
        let age_ms = match spec.schedule {
            // Each occurrence has a due time of its own, so the age of the job says nothing about
            // the newest occurrence.
            Some(_) => 0.0,
            None => now.duration_since(job.accepted_at()).as_millis() as f64,
        };
        let left_ms = objective_ms - age_ms;
        let slack_ms = left_ms - remaining_ms;
        // The capacity that a job has received is lost for the objective if the job falls behind. A
        // job that has begun keeps its class until it is late with short run times as well.
        let reachable_ms = match job.is_pending() {
            true => remaining_ms,
            false => run_time.short_ms(remaining_estimate_ms),
        };
        let class = if left_ms >= reachable_ms {
            0
        } else if objective_ms * EXPIRY_FACTOR - age_ms >= reachable_ms {
            1
        } else {
            2
        };
        Rank {
            class,
            priority: queue.priority,
            excess: 0,
            slack_ms: slack_ms as i64,
        }
    }
}

/// Returns the critical path over the unfinished steps of an occurrence, in milliseconds.
pub(super) fn remaining_critical_path_ms(job: &Job, step_ref: StepRef) -> u64 {
    job.submission().spec.critical_path_ms(|step| {
        let other = StepRef { step, ..step_ref };
        job.done_count(other) < job.step(step).count
    })
}
