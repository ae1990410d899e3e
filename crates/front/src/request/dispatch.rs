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
        let mut last_error: Option<RequestError> = None;
        loop {
            let slot = match self.acquire_slot(&excluded, deadline).await {
                Ok(slot) => slot,
                Err(error) => return Err(last_error.unwrap_or(error)),
            };
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
            if !self.authorize_retry(&error, is_idempotent, excluded.len(), deadline) {
                return Err(error);
            }
            self.metrics.count_retry(&self.route.service, error.cause);
            last_error = Some(error);
        }
    }

    async fn acquire_slot(
        &self,
        excluded: &[TargetId],
        deadline: Instant,
    ) -> Result<SlotPermit, RequestError> {
        if excluded.is_empty() {
            return self
                .targets
                .acquire_slot(&self.route.settings, deadline)
                .await;
        }
        self.targets.try_acquire_slot(excluded).ok_or_else(|| {
            RequestError::not_run(Cause::NoTarget, "no other target has a free slot")
        })
    }

    fn authorize_retry(
        &self,
        error: &RequestError,
        is_idempotent: bool,
        attempts: usize,
        deadline: Instant,
    ) -> bool {
        error.verdict.allows_retry(is_idempotent)
            && error.cause != Cause::RequestInvalid
            && attempts < ATTEMPTS_MAX
            && Instant::now() < deadline
            && self.targets.retry_budget().try_withdraw()
    }
}
