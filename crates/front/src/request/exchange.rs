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
use crate::target::Lease;
use crate::target::ServiceTargets;

const TRIES_MAX: usize = 3;

/// One caller's request on its way through the front.
pub struct Exchange<'a> {
    /// The service that it belongs to.
    pub route: &'a Route,
    /// Its head.
    pub head: &'a RequestHead,
    /// Its whole body.
    pub body: &'a RequestBody,
    /// The service's targets and their queue.
    pub targets: &'a ServiceTargets,
    /// Where retries are counted.
    pub metrics: &'a FrontMetrics,
    /// When the caller must have its answer.
    pub deadline: Instant,
}

impl Exchange<'_> {
    /// Tries targets until one answers or the request is given up on.
    pub async fn run(&self) -> Result<Response<AnswerBody>, RequestError> {
        let deadline = self.deadline;
        self.targets.retry_budget().add_fresh();
        let is_idempotent = self.route.settings.is_idempotent(self.head.method.as_str());
        let mut excluded: Vec<TargetId> = Vec::new();
        let mut last_error: Option<RequestError> = None;
        loop {
            let lease = match self.lease(&excluded, deadline).await {
                Ok(lease) => lease,
                Err(error) => return Err(last_error.unwrap_or(error)),
            };
            let target = lease.entry().target.clone();
            let body = self.body.bytes.clone();
            let mut error = match attempt::send(lease, self.head, body, deadline).await {
                Ok(answer) => return Ok(with_verdict(answer, Verdict::Ran)),
                Err(error) => error,
            };
            // The verdict covers all tries, not only the last one.
            if let Some(last) = &last_error {
                error.verdict = error.verdict.max(last.verdict);
            }
            excluded.push(target);
            if !self.may_retry(&error, is_idempotent, excluded.len(), deadline) {
                return Err(error);
            }
            self.metrics.count_retry(&self.route.service, error.cause);
            last_error = Some(error);
        }
    }

    async fn lease(&self, excluded: &[TargetId], deadline: Instant) -> Result<Lease, RequestError> {
        if excluded.is_empty() {
            return self
                .targets
                .lease_in_turn(&self.route.settings, deadline)
                .await;
        }
        self.targets.try_lease(excluded).ok_or_else(|| {
            RequestError::not_run(Cause::NoTarget, "no other target has a free slot")
        })
    }

    fn may_retry(
        &self,
        error: &RequestError,
        is_idempotent: bool,
        tries: usize,
        deadline: Instant,
    ) -> bool {
        error.verdict.allows_retry(is_idempotent)
            && error.cause != Cause::RequestInvalid
            && tries < TRIES_MAX
            && Instant::now() < deadline
            && self.targets.retry_budget().try_take()
    }
}
