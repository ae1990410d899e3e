use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::TargetId;
use hyper::Response;
use tokio::time::Instant;

use super::Cause;
use super::RequestBody;
use super::RequestError;
use super::RequestHead;
use super::attempt;
use super::with_verdict;
use crate::metrics::FrontMetrics;
use crate::routing::Route;
use crate::target::ServiceTargets;
use crate::target::SlotPermit;

const ATTEMPTS_MAX: usize = 3;
/// The targets that may break off a request without an answer. The request may be what ends them.
const BROKEN_TARGETS_MAX: usize = 2;

/// Sends one caller's request to targets, with retries within the service's budget.
pub struct Dispatch<'a> {
    /// The service and its settings.
    pub route: &'a Route,
    /// The request's head, as sent to targets.
    pub head: &'a RequestHead,
    /// The request's whole body.
    pub body: &'a RequestBody,
    /// The service's targets, queue and retry budget.
    pub targets: &'a ServiceTargets,
    /// The counters of retries.
    pub metrics: &'a FrontMetrics,
    /// The time by which the caller must have an answer.
    pub deadline: Instant,
}

impl Dispatch<'_> {
    /// Makes attempts until a target answers or no retry is allowed.
    ///
    /// # Errors
    /// No attempt brought an answer; the verdict covers all attempts.
    pub async fn run(&self) -> Result<Response<AnswerBody>, RequestError> {
        let deadline = self.deadline;
        self.targets.retry_budget().deposit();
        let is_idempotent = self.route.settings.is_idempotent(self.head.method.as_str());
        let mut excluded: Vec<TargetId> = Vec::new();
        let mut broken_targets = 0;
        let mut last_error: Option<RequestError> = None;
        let mut slot = self
            .targets
            .acquire_slot(&self.route.settings, deadline)
            .await?;
        loop {
            let target = slot.entry().target.clone();
            let body = self.body.bytes.clone();
            let mut error = match attempt::send(slot, self.head, body, deadline).await {
                Ok(answer) => return Ok(with_verdict(answer, Verdict::Ran)),
                Err(error) => error,
            };
            // An earlier attempt may have run the request even if the last one did not.
            if let Some(last) = &last_error {
                error.verdict = error.verdict.max(last.verdict);
            }
            excluded.push(target);
            broken_targets += usize::from(error.cause == Cause::ConnectionBroken);
            if broken_targets >= BROKEN_TARGETS_MAX
                || !self.may_retry(&error, is_idempotent, excluded.len())
            {
                return Err(error);
            }
            let Some(next) = self.acquire_retry_slot(&excluded) else {
                return Err(error);
            };
            self.metrics.count_retry(&self.route.service, error.cause);
            last_error = Some(error);
            slot = next;
        }
    }

    /// Acquires a slot at another target and spends one retry. Without a slot the budget stays as it
    /// is.
    fn acquire_retry_slot(&self, excluded: &[TargetId]) -> Option<SlotPermit> {
        let slot = self.targets.try_acquire_slot(excluded)?;
        self.targets.retry_budget().try_withdraw().then_some(slot)
    }

    fn may_retry(&self, error: &RequestError, is_idempotent: bool, attempts: usize) -> bool {
        error.verdict.allows_retry(is_idempotent)
            && error.cause != Cause::RequestInvalid
            && attempts < ATTEMPTS_MAX
            && Instant::now() < self.deadline
    }
}
