use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::TargetId;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use super::attempt;
use super::refuse;
use super::with_verdict;
use crate::routing::Route;
use crate::target::TargetSet;

const TRIES_MAX: usize = 3;

/// The head of a caller's request, as it is sent to targets.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path_and_query: Box<str>,
    /// The headers without those that belong to one connection.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Takes the head of a request.
    pub fn of<B>(request: &Request<B>) -> Self {
        let mut headers = request.headers().clone();
        for name in [
            CONNECTION,
            CONTENT_LENGTH,
            TE,
            TRAILER,
            TRANSFER_ENCODING,
            UPGRADE,
        ] {
            headers.remove(name);
        }
        headers.remove("keep-alive");
        let path_and_query = request.uri().path_and_query().map_or("/", |p| p.as_str());
        Self {
            method: request.method().clone(),
            path_and_query: path_and_query.into(),
            headers,
        }
    }
}

/// One caller's request on its way through the front.
pub struct Exchange {
    /// The service that it belongs to.
    pub route: Route,
    /// Its head.
    pub head: RequestHead,
    /// Its whole body.
    pub body: Bytes,
    /// The targets to choose from.
    pub targets: Arc<TargetSet>,
}

impl Exchange {
    /// Tries targets until one answers or the request is given up on.
    pub async fn run(&self) -> Response<AnswerBody> {
        let timeout = Duration::from_millis(self.route.settings.timeout_ms);
        match tokio::time::timeout(timeout, self.try_targets()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => refuse(give_up_status(error.verdict), &error),
            Err(_) => {
                let error = CallError::may_have_run("no answer within the service's timeout");
                refuse(StatusCode::GATEWAY_TIMEOUT, &error)
            }
        }
    }

    async fn try_targets(&self) -> Result<Response<AnswerBody>, CallError> {
        let is_idempotent = self.route.settings.is_idempotent(self.head.method.as_str());
        let mut excluded: Vec<TargetId> = Vec::new();
        let mut last_error = CallError::not_run("no target has a free slot");
        while excluded.len() < TRIES_MAX {
            let Some(lease) = self.targets.lease(&self.route.service, &excluded) else {
                return Err(last_error);
            };
            match attempt::send(&lease, &self.head, self.body.clone()).await {
                Ok(answer) => return Ok(stream_answer(answer, lease)),
                Err(error) if error.verdict.allows_retry(is_idempotent) => {
                    excluded.push(lease.entry().target.clone());
                    last_error = error;
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }
}

fn give_up_status(verdict: Verdict) -> StatusCode {
    match verdict {
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun | Verdict::Ran => StatusCode::BAD_GATEWAY,
    }
}

/// Passes the answer on as it comes; the slot is held until its end.
fn stream_answer(answer: Response<Incoming>, lease: crate::target::Lease) -> Response<AnswerBody> {
    let (mut head, body) = answer.into_parts();
    for name in [CONNECTION, TRANSFER_ENCODING, UPGRADE] {
        head.headers.remove(name);
    }
    let body = body.map_err(move |error| {
        let _held = &lease;
        error.into()
    });
    with_verdict(Response::from_parts(head, body.boxed()), Verdict::Ran)
}
