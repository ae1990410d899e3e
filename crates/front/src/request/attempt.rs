use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;

use super::RequestHead;
use crate::headers;
use crate::target::Lease;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a request to one target and returns the head of its answer.
///
/// # Errors
/// The verdict says whether the target may have run the request.
pub(super) async fn send(
    lease: &Lease,
    head: &RequestHead,
    body: Bytes,
) -> Result<Response<Incoming>, CallError> {
    let mut connection = lease.connect(CONNECT_TIMEOUT).await?;
    let request = build(lease, head, body)?;
    let answer = connection
        .try_send_request(request)
        .await
        .map_err(|mut error| {
            if error.take_message().is_some() {
                CallError::not_run("the connection closed before the request was sent")
            } else {
                CallError::may_have_run("the connection broke before the answer")
            }
        })?;
    lease.keep(connection);
    if is_refusal(&answer) {
        return Err(CallError::not_run("the target refused the request"));
    }
    Ok(answer)
}

fn build(
    lease: &Lease,
    head: &RequestHead,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let request = Request::builder()
        .method(head.method.clone())
        .uri(&*head.path_and_query);
    let mut request = request
        .body(Full::new(body))
        .map_err(|error| CallError::not_run(error.to_string()))?;
    *request.headers_mut() = head.headers.clone();
    let host = lease.entry().address.to_string();
    let host = host
        .parse()
        .map_err(|_| CallError::not_run("the target's address is invalid"))?;
    request.headers_mut().insert(HOST, host);
    Ok(request)
}

fn is_refusal(answer: &Response<Incoming>) -> bool {
    let verdict = answer.headers().get(headers::VERDICT);
    answer.status() == StatusCode::SERVICE_UNAVAILABLE
        && verdict.is_some_and(|verdict| verdict.as_bytes() == b"not-run")
}
