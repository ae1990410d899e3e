use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::fleet::Executor;
use crate::ledger::StepRef;
use crate::model::AdvisorTiming;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::platform::Advice;
use crate::platform::AdviceRequest;
use crate::policy::PlacementRequest;

/// Limits the executors in one request; each one adds to the response time.
const EXECUTORS_PER_REQUEST_MAX: usize = 30;
/// The remaining validity that a ticket needs at placement. The run's record is stored and its
/// start is sent before the ticket is used.
pub(super) const TICKET_VALIDITY_MIN: Duration = Duration::from_millis(500);
/// Added to the configured response time of the service, for the network and for calls of other
/// hosts.
const ADVICE_TIMEOUT_SLACK: Duration = Duration::from_millis(1_000);

/// The decisions of the approval service for one step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    valid: BTreeMap<ExecutorKey, (Box<str>, Instant)>,
    /// Executors that may not run the step. A denial is final, but another incarnation may be of another
    /// kind.
    denied: BTreeSet<ExecutorKey>,
    /// The executors that a request without an answer names.
    pending: Option<Vec<ExecutorKey>>,
}

/// Tickets of the approval service, which the starts of some queues need.
impl CellState {
    /// Returns the ticket for a step on an executor if it is still valid at the given time.
    pub(super) fn ticket(
        &self,
        job: JobId,
        step_ref: StepRef,
        executor: &Executor,
        valid_at: Instant,
    ) -> Option<&str> {
        let tickets = self.tickets.get(&(job, step_ref))?;
        let (ticket, expires_at) = tickets.valid.get(&executor.key()?)?;
        (*expires_at > valid_at).then_some(&**ticket)
    }

    /// Returns the next request to the approval service.
    ///
    /// The request is for the first waiting step without a pending request, and names the executors
    /// with the best scores.
    pub fn next_advice_request(&mut self, now: Instant) -> Option<AdviceRequest> {
        let jobs = self.ledger.jobs();
        let open: BTreeSet<JobId> = jobs
            .filter(|job| job.is_open())
            .map(|job| job.id())
            .collect();
        self.tickets.retain(|(job, _), _| open.contains(job));
        for (job, step_ref, timing) in self.waiting_steps_with_advisor(now) {
            let Some(found) = self.ledger.job(job) else {
                continue;
            };
            let service = Self::queue_config(&self.config, found).service.clone();
            let step = found.step(step_ref.step).clone();
            let keys = self.undecided_executors(job, step_ref, &step, &service, now);
            let tickets = self.tickets.entry((job, step_ref)).or_default();
            if tickets.pending.is_some() || keys.is_empty() {
                continue;
            }
            let executors: Vec<ExecutorId> = keys.iter().map(|key| key.id.clone()).collect();
            tickets.pending = Some(keys);
            let response_ms = timing.decide_ms + timing.per_executor_ms * executors.len() as u64;
            return Some(AdviceRequest {
                job,
                step: step_ref,
                executors,
                timeout: Duration::from_millis(response_ms) + ADVICE_TIMEOUT_SLACK,
            });
        }
        None
    }

    /// Handles the answer to a request. Without an answer, the request is due again.
    pub fn handle_advice(&mut self, request: &AdviceRequest, advice: Option<Advice>, now: Instant) {
        let Some(tickets) = self.tickets.get_mut(&(request.job, request.step)) else {
            return;
        };
        let (Some(pending), Some(advice)) = (tickets.pending.take(), advice) else {
            return;
        };
        let mut approved: BTreeMap<ExecutorId, Box<str>> = advice.tickets.into_iter().collect();
        for key in pending {
            match approved.remove(&key.id) {
                Some(ticket) => {
                    tickets.valid.insert(key, (ticket, now + advice.valid_for));
                }
                None => {
                    tickets.denied.insert(key);
                }
            }
        }
    }

    fn waiting_steps_with_advisor(&self, now: Instant) -> Vec<(JobId, StepRef, AdvisorTiming)> {
        let needs_tickets = |job| Self::queue_config(&self.config, job).advice.is_some();
        if !self.ledger.jobs().any(needs_tickets) {
            return Vec::new();
        }
        let waiting = self.waiting_steps(now).into_iter();
        let with_timing = waiting.filter_map(|waiting| {
            let job = self.ledger.job(waiting.job)?;
            let timing = Self::queue_config(&self.config, job).advice?;
            Some((waiting.job, waiting.step_ref, timing))
        });
        with_timing.collect()
    }

    /// Returns the executors with room for the step that have neither a valid ticket nor a denial.
    fn undecided_executors(
        &self,
        job: JobId,
        step_ref: StepRef,
        step: &StepSpec,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<ExecutorKey> {
        let request = PlacementRequest {
            step,
            pressures: &[],
            dissimilarities: &[],
            may_interfere: true,
            may_be_interrupted: false,
        };
        let tickets = self.tickets.get(&(job, step_ref));
        let is_decided = |key: &ExecutorKey| {
            tickets.is_some_and(|tickets| {
                let valid = tickets.valid.get(key);
                tickets.denied.contains(key)
                    || valid.is_some_and(|(_, expires_at)| *expires_at > now + TICKET_VALIDITY_MIN)
            })
        };
        let mut scored: Vec<(f64, ExecutorKey)> = self
            .available_executors(service, now)
            .filter_map(|executor| {
                let key = executor.key().filter(|key| !is_decided(key))?;
                let score = self.placement.score(&request, executor)?;
                Some((score, key))
            })
            .collect();
        scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let best = scored.into_iter().take(EXECUTORS_PER_REQUEST_MAX);
        best.map(|(_, key)| key).collect()
    }
}
