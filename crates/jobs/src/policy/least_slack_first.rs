use tokio::time::Instant;

use super::QueuePolicy;
use super::Rank;
use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::QueueTerms;

/// A job later than this many times its objective earns its client nothing any more.
const LATE_FACTOR: f64 = 3.0;

/// Serves what can still be in time first, by slack; the rest goes when there is room.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastSlackFirst;

impl QueuePolicy for LeastSlackFirst {
    fn rank(&self, job: &Job, at: StepRef, terms: &QueueTerms, now: Instant) -> Rank {
        let spec = &job.submission().spec;
        if job.step(at.step).is_long_running {
            let age_ms = now.duration_since(job.accepted_at()).as_millis() as i64;
            let slack_ms = terms.target_latency_ms as i64 - age_ms;
            return Rank {
                class: u32::from(slack_ms < 0),
                priority: terms.priority,
                slack_ms,
            };
        }
        let chain_ms = chain_ms(job, |_| true);
        let remaining_ms = chain_ms_from(job, at);
        let objective_ms = terms.stretch * chain_ms as f64 + terms.target_latency_ms as f64;
        let age_ms = match spec.schedule {
            // Occurrences are due at times of their own; the newest counts.
            Some(_) => 0.0,
            None => now.duration_since(job.accepted_at()).as_millis() as f64,
        };
        let slack_ms = objective_ms - age_ms - remaining_ms as f64;
        let late_slack_ms = objective_ms * LATE_FACTOR - age_ms - remaining_ms as f64;
        let class = if slack_ms >= 0.0 {
            0
        } else if late_slack_ms >= 0.0 {
            1
        } else {
            2
        };
        Rank {
            class,
            priority: terms.priority,
            slack_ms: slack_ms as i64,
        }
    }
}

/// Returns the longest chain of estimates over the steps of the filter, in milliseconds.
fn chain_ms(job: &Job, counts: impl Fn(u32) -> bool) -> u64 {
    let steps = &job.submission().spec.steps;
    let mut ends_ms = Vec::with_capacity(steps.len());
    for (number, step) in steps.iter().enumerate() {
        let before = step.after.iter().map(|before| ends_ms[*before as usize]);
        let start_ms: u64 = before.max().unwrap_or(0);
        let own_ms = if counts(number as u32) {
            step.estimate_ms
        } else {
            0
        };
        ends_ms.push(start_ms + own_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}

/// Returns the longest chain over the steps of an occurrence that are not done.
fn chain_ms_from(job: &Job, at: StepRef) -> u64 {
    chain_ms(job, |step| {
        let other = StepRef { step, ..at };
        job.done_count(other) < job.step(step).count
    })
}
