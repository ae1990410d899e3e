use std::time::Duration;

use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::full_body;
use dotterelhook_types::Verdict;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use rand::RngExt;

use super::RequestError;
use crate::headers;

/// Callers are told random times up to this one, so that their retries spread out.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(3);

/// Sets the verdict header of an answer, replacing any earlier value.
pub fn with_verdict(mut answer: Response<AnswerBody>, verdict: Verdict) -> Response<AnswerBody> {
    let text: &'static str = verdict.into();
    answer
        .headers_mut()
        .insert(headers::VERDICT, HeaderValue::from_static(text));
    answer
}

/// Builds the caller's answer to a request that failed.
pub fn error_answer(error: &RequestError) -> Response<AnswerBody> {
    let status = error.cause.status(error.verdict);
    let mut answer = Response::new(full_body(format!("{error}\n")));
    *answer.status_mut() = status;
    let cause = HeaderValue::from_static(error.cause.name());
    answer.headers_mut().insert(headers::CAUSE, cause);
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let seconds = rand::rng().random_range(1..=RETRY_AFTER_MAX.as_secs());
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    with_verdict(answer, error.verdict)
}
