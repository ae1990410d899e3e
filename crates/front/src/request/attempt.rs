use std::time::Duration;

use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Cause;
use super::RequestError;
use super::RequestHead;
use super::answer_body;
use super::request_head::remove_connection_headers;
use crate::headers;
use crate::target::AttemptOutcome;
use crate::target::Connection;
use crate::target::SlotPermit;

/// An exchange that lasts this long beyond the deadline is aborted with its connection.
const ABANDONED_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

type AttemptResult = Result<Response<AnswerBody>, RequestError>;

/// Sends a request to one target and returns its answer.
///
/// A task of its own carries the exchange on if the caller leaves or the deadline passes. The slot
/// thus stays occupied while the target may still work on the request.
/// [`ABANDONED_EXCHANGE_TIMEOUT`] limits this time until the answer is buffered, or its relay
/// starts.
///
/// # Errors
/// The verdict says whether the target may have run the request.
pub(super) async fn send(
    slot: SlotPermit,
    head: &RequestHead,
    body: Bytes,
    deadline: Instant,
) -> AttemptResult {
    let request = build_request(&slot, head, body)?;
    let connection = match slot.connect(deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            if error.cause == Cause::ConnectFailed {
                slot.report(AttemptOutcome::Failed);
            }
            return Err(error);
        }
    };
    let health = slot.health_reporter();
    let (result_sender, result_receiver) = oneshot::channel();
    let allows_chunked = head.allows_chunked;
    tokio::spawn(async move {
        let exchange = exchange(slot, connection, request, allows_chunked);
        if let Ok(result) = timeout_at(deadline + ABANDONED_EXCHANGE_TIMEOUT, exchange).await {
            // The send fails only if the caller no longer waits.
            let _ = result_sender.send(result);
        }
    });
    match timeout_at(deadline, result_receiver).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(connection_broken("the target's answer was given up")),
        Err(_) => {
            health.report(AttemptOutcome::Failed);
            let detail = "no answer within the service's timeout";
            Err(RequestError::may_have_run(Cause::Timeout, detail))
        }
    }
}

async fn exchange(
    slot: SlotPermit,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    allows_chunked: bool,
) -> AttemptResult {
    let started_at = Instant::now();
    let sent_id = request.headers().get(headers::REQUEST_ID).cloned();
    let sent = connection.try_send_request(request).await;
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(mut error) => {
            slot.report(AttemptOutcome::Failed);
            // hyper returns the message only if it has written none of the request.
            return Err(match error.take_message() {
                Some(_) => {
                    let detail = "the connection closed before the request was sent";
                    RequestError::not_run(Cause::ConnectFailed, detail)
                }
                None => connection_broken("the connection broke before the answer"),
            });
        }
    };
    if let Some(refusal) = refusal(&answer) {
        slot.return_connection(connection);
        match refusal.cause {
            Cause::TargetDraining => slot.report(AttemptOutcome::Draining),
            _ => slot.report(AttemptOutcome::Full),
        }
        return Err(refusal);
    }
    if let Err(error) = check_head(&answer, sent_id.as_ref()) {
        slot.report(AttemptOutcome::Failed);
        return Err(error);
    }
    remove_connection_headers(answer.headers_mut());
    let is_success = !answer.status().is_server_error();
    let health = slot.health_reporter();
    slot.return_connection(connection);
    let result = answer_body::buffer_or_stream(answer, slot, allows_chunked).await;
    let latency = started_at.elapsed();
    health.report(match &result {
        Ok(_) if is_success => AttemptOutcome::Success { latency },
        _ => AttemptOutcome::Failed,
    });
    result
}

fn build_request(
    slot: &SlotPermit,
    head: &RequestHead,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, RequestError> {
    let invalid = |detail: String| RequestError::not_run(Cause::RequestInvalid, detail);
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(&*head.path_and_query)
        .body(Full::new(body))
        .map_err(|error| invalid(error.to_string()))?;
    *request.headers_mut() = head.headers.clone();
    let host = HeaderValue::from_str(&slot.entry().address.to_string())
        .map_err(|error| invalid(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    Ok(request)
}

/// Returns the error for an answer in which the target states that it did not run the request.
fn refusal(answer: &Response<Incoming>) -> Option<RequestError> {
    let verdict = answer.headers().get(headers::VERDICT)?;
    if answer.status() != StatusCode::SERVICE_UNAVAILABLE || verdict.as_bytes() != b"not-run" {
        return None;
    }
    Some(if answer.headers().contains_key(headers::DRAINING) {
        RequestError::not_run(Cause::TargetDraining, "the target is about to leave")
    } else {
        RequestError::not_run(Cause::TargetFull, "the target has no free slot")
    })
}

/// Checks that an answer's head can belong to this request.
fn check_head(
    answer: &Response<Incoming>,
    sent_id: Option<&HeaderValue>,
) -> Result<(), RequestError> {
    let invalid = |detail: &str| Err(RequestError::may_have_run(Cause::AnswerInvalid, detail));
    if answer.status().is_informational() {
        return invalid("the target changed the protocol");
    }
    answer_body::check_framing(answer)?;
    match answer.headers().get(headers::REQUEST_ID) {
        Some(id) if Some(id) != sent_id => invalid("the target answered another request"),
        _ => Ok(()),
    }
}

fn connection_broken(detail: &str) -> RequestError {
    RequestError::may_have_run(Cause::ConnectionBroken, detail)
}
