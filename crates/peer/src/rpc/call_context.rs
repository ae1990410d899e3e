use std::sync::Arc;

use bytes::Bytes;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use h2::RecvStream;
use h2::server::SendResponse;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use spdlog::debug;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::PeerHandler;
use super::PeerHandlers;
use super::PeerLimits;
use super::body;
use super::body::BodyBudget;
use super::deadline;
use crate::refusals::Refusals;

/// Handlers, limits and budgets that all calls to one daemon share.
pub(super) struct CallContext {
    pub(super) handlers: Arc<PeerHandlers>,
    pub(super) limits: PeerLimits,
    pub(super) refusals: Refusals,
    call_permits: Arc<Semaphore>,
    body_budget: BodyBudget,
}

/// The reason for refusing a call before its handler ran.
struct Refusal {
    reason: &'static str,
    cause: Box<str>,
}

impl CallContext {
    /// Creates a context without handlers. Bodies draw from the account of the process.
    pub(super) fn new(limits: PeerLimits, account: Arc<MemoryAccount>) -> Self {
        Self {
            handlers: Arc::default(),
            limits,
            refusals: Refusals::new("peer"),
            call_permits: Arc::new(Semaphore::new(limits.calls_max)),
            body_budget: BodyBudget::new(limits.bodies_max_bytes).with_account(account),
        }
    }

    /// Serves one call until the deadline that its caller set.
    pub(super) async fn serve(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let deadline = Instant::now() + deadline::read(request.headers());
        let name = request.uri().path().trim_start_matches('/').to_owned();
        let result = self.run(&name, request.into_body(), deadline).await;
        let sent = timeout_at(deadline, send_answer(respond, result)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => debug!("peer: can't send the answer to call {name}: {error}"),
            Err(_) => debug!("peer: the answer to call {name} was not read in time"),
        }
    }

    async fn run(
        &self,
        name: &str,
        stream: RecvStream,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let admitted = timeout_at(deadline, self.admit(name, stream)).await;
        let expired = Refusal {
            reason: "deadline",
            cause: "the call did not arrive in time".into(),
        };
        let (handler, received, _permit) = match admitted.unwrap_or(Err(expired)) {
            Ok(admitted) => admitted,
            Err(Refusal { reason, cause }) => {
                self.refusals
                    .record(reason, format!("call {name:?} refused: {cause}"));
                return Err(CallError::not_run(cause));
            }
        };
        match timeout_at(deadline, handler.call(received.body.clone())).await {
            Ok(result) => result,
            Err(_) => Err(CallError::may_have_run("the call took too long")),
        }
    }

    async fn admit(
        &self,
        name: &str,
        mut stream: RecvStream,
    ) -> Result<
        (
            Arc<dyn PeerHandler>,
            body::ReceivedBody,
            OwnedSemaphorePermit,
        ),
        Refusal,
    > {
        let refusal = |reason: &'static str, cause: Box<str>| Refusal { reason, cause };
        let permit = Arc::clone(&self.call_permits)
            .try_acquire_owned()
            .map_err(|_| refusal("too-many-calls", "too many calls at once".into()))?;
        let handler = self
            .handlers
            .find(name)
            .ok_or_else(|| refusal("no-such-call", format!("there is no call {name:?}").into()))?;
        let received = body::receive(&mut stream, self.limits.body_max_bytes, &self.body_budget)
            .await
            .map_err(|cause| refusal("body", cause))?;
        Ok((handler, received, permit))
    }
}

async fn send_answer(
    mut respond: SendResponse<Bytes>,
    result: Result<Bytes, CallError>,
) -> Result<(), h2::Error> {
    let (status, body) = match result {
        Ok(frame) => (StatusCode::OK, frame),
        Err(error) if error.verdict == Verdict::NotRun => (
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from(error.cause.into_string()),
        ),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(error.cause.into_string()),
        ),
    };
    let mut head = Response::new(());
    *head.status_mut() = status;
    let mut stream = respond.send_response(head, false)?;
    body::send(&mut stream, body).await
}
