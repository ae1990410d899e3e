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
use crate::target::Connection;
use crate::target::Lease;
use crate::target::Outcome;

/// A target that still works on a request so long after the deadline loses the connection.
const ABANDONED_MAX: Duration = Duration::from_secs(30);

type AttemptResult = Result<Response<AnswerBody>, RequestError>;

/// Sends a request to one target and returns its answer.
///
/// Once the request may have been sent, a task of its own sees it through, so that the slot
/// stays taken as long as the target may work on it, whether or not the caller still waits.
///
/// # Errors
/// The verdict says whether the target may have run the request.
pub(super) async fn send(
    lease: Lease,
    head: &RequestHead,
    body: Bytes,
    deadline: Instant,
) -> AttemptResult {
    let request = build(&lease, head, body)?;
    let connection = match lease.connect(deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            if error.cause == Cause::ConnectFailed {
                lease.report(Outcome::Failed);
            }
            return Err(error);
        }
    };
    let health = lease.health();
    let (report, answered) = oneshot::channel();
    let allows_chunked = head.allows_chunked;
    tokio::spawn(async move {
        let exchange = exchange(lease, connection, request, allows_chunked);
        if let Ok(result) = timeout_at(deadline + ABANDONED_MAX, exchange).await {
            // A caller that left needs no answer.
            let _ = report.send(result);
        }
    });
    match timeout_at(deadline, answered).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(broken("the target's answer was given up")),
        Err(_) => {
            health.report(Outcome::Failed);
            let detail = "no answer within the service's timeout";
            Err(RequestError::may_have_run(Cause::Timeout, detail))
        }
    }
}

async fn exchange(
    lease: Lease,
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
            lease.report(Outcome::Failed);
            // The library hands back only requests of which it has written nothing.
            return Err(match error.take_message() {
                Some(_) => {
                    let detail = "the connection closed before the request was sent";
                    RequestError::not_run(Cause::ConnectFailed, detail)
                }
                None => broken("the connection broke before the answer"),
            });
        }
    };
    if let Some(refusal) = refusal(&answer) {
        lease.keep(connection);
        match refusal.cause {
            Cause::TargetDraining => lease.report(Outcome::Draining),
            _ => lease.report(Outcome::Full),
        }
        return Err(refusal);
    }
    if let Err(error) = check_head(&answer, sent_id.as_ref()) {
        lease.report(Outcome::Failed);
        return Err(error);
    }
    remove_connection_headers(answer.headers_mut());
    let is_good = !answer.status().is_server_error();
    let health = lease.health();
    lease.keep(connection);
    let taken = answer_body::take(answer, lease, allows_chunked).await;
    let latency = started_at.elapsed();
    health.report(match &taken {
        Ok(_) if is_good => Outcome::Good { latency },
        _ => Outcome::Failed,
    });
    taken
}

fn build(
    lease: &Lease,
    head: &RequestHead,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, RequestError> {
    let invalid = |cause: String| RequestError::not_run(Cause::RequestInvalid, cause);
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(&*head.path_and_query)
        .body(Full::new(body))
        .map_err(|error| invalid(error.to_string()))?;
    *request.headers_mut() = head.headers.clone();
    let host = HeaderValue::from_str(&lease.entry().address.to_string())
        .map_err(|error| invalid(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    Ok(request)
}

/// Returns the error for a target's word that it did not run the request.
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

/// Refuses heads that can't be the answer to this request.
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

fn broken(detail: &str) -> RequestError {
    RequestError::may_have_run(Cause::ConnectionBroken, detail)
}
