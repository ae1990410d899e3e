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

/// The executors in one question; each adds to the time of the answer.
const EXECUTORS_PER_QUESTION_MAX: usize = 30;
/// What a ticket must be valid for when a run is placed: its record and its start come first.
pub(super) const TICKET_MARGIN: Duration = Duration::from_millis(500);
/// Added to the time that the service says it takes, for the way and for other hosts' calls.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);

/// What the approval service has said of one step.
#[derive(Debug, Default)]
pub(super) struct StepTickets {
    valid: BTreeMap<ExecutorKey, (Box<str>, Instant)>,
    /// Executors that may not run the step; that does not change.
    denied: BTreeSet<ExecutorId>,
    is_asked: bool,
}

/// Tickets for queues whose starts need them.
impl CellState {
    /// Returns the ticket for a step on an executor, if one is valid at the given time.
    pub(super) fn ticket(
        &self,
        job: JobId,
        at: StepRef,
        executor: &Executor,
        at_time: Instant,
    ) -> Option<&str> {
        let tickets = self.tickets.get(&(job, at))?;
        let (ticket, until) = tickets.valid.get(&executor.key()?)?;
        (*until > at_time).then_some(&**ticket)
    }

    /// Returns the next question to the approval service: the first waiting step that has none
    /// under way, about the executors that suit it best.
    pub fn next_advice_request(&mut self, now: Instant) -> Option<AdviceRequest> {
        let jobs = self.ledger.jobs();
        let open: BTreeSet<JobId> = jobs
            .filter(|job| job.is_open())
            .map(|job| job.id())
            .collect();
        self.tickets.retain(|(job, _), _| open.contains(job));
        for (job, at, terms) in self.steps_with_advice(now) {
            let Some(found) = self.ledger.job(job) else {
                continue;
            };
            let service = Self::terms_of(&self.config, found).service.clone();
            let step = found.step(at.step).clone();
            let executors = self.executors_to_ask(job, at, &step, &service, now);
            let tickets = self.tickets.entry((job, at)).or_default();
            if tickets.is_asked || executors.is_empty() {
                continue;
            }
            tickets.is_asked = true;
            let takes_ms = terms.decide_ms + terms.per_executor_ms * executors.len() as u64;
            return Some(AdviceRequest {
                job,
                step: at,
                executors,
                timeout: Duration::from_millis(takes_ms) + ANSWER_SLACK,
            });
        }
        None
    }

    /// Takes the answer to a question; without one, the question is asked again.
    pub fn handle_advice(
        &mut self,
        question: &AdviceRequest,
        advice: Option<Advice>,
        now: Instant,
    ) {
        let key = (question.job, question.step);
        let Some(tickets) = self.tickets.get_mut(&key) else {
            return;
        };
        tickets.is_asked = false;
        let Some(advice) = advice else {
            return;
        };
        let approved: BTreeSet<&ExecutorId> = advice.tickets.iter().map(|(id, _)| id).collect();
        let denied = question.executors.iter();
        let denied = denied.filter(|id| !approved.contains(id)).cloned();
        tickets.denied.extend(denied);
        for (id, ticket) in advice.tickets {
            if let Some(key) = self.executors.get(&id).and_then(Executor::key) {
                tickets.valid.insert(key, (ticket, now + advice.valid_for));
            }
        }
    }

    fn steps_with_advice(&self, now: Instant) -> Vec<(JobId, StepRef, AdvisorTiming)> {
        let asks = |job| Self::terms_of(&self.config, job).advice.is_some();
        if !self.ledger.jobs().any(asks) {
            return Vec::new();
        }
        let waiting = self.waiting_steps(now).into_iter();
        let with_terms = waiting.filter_map(|waiting| {
            let job = self.ledger.job(waiting.job)?;
            let terms = Self::terms_of(&self.config, job).advice?;
            Some((waiting.job, waiting.at, terms))
        });
        with_terms.collect()
    }

    /// Returns the executors with room for the step about which nothing valid is known.
    fn executors_to_ask(
        &self,
        job: JobId,
        at: StepRef,
        step: &StepSpec,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<ExecutorId> {
        let request = PlacementRequest {
            step,
            pressures: &[],
            may_interfere: true,
        };
        let tickets = self.tickets.get(&(job, at));
        let is_known = |executor: &Executor| {
            tickets.is_some_and(|tickets| {
                let is_denied = tickets.denied.contains(&executor.entry.id);
                let valid = executor.key().and_then(|key| tickets.valid.get(&key));
                is_denied || valid.is_some_and(|(_, until)| *until > now + TICKET_MARGIN)
            })
        };
        let mut scored: Vec<(f64, &ExecutorId)> = self
            .open_executors(service, now)
            .filter(|executor| !is_known(executor))
            .filter_map(|executor| {
                let score = self.placement.score(&request, executor)?;
                Some((score, &executor.entry.id))
            })
            .collect();
        scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let best = scored.into_iter().take(EXECUTORS_PER_QUESTION_MAX);
        best.map(|(_, id)| id.clone()).collect()
    }
}
