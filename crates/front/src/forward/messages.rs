use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::full_body;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ServiceName;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use crate::request::Cause;
use crate::request::RequestBody;
use crate::request::RequestError;
use crate::request::RequestHead;

/// The name of the call between fronts.
pub const CALL_NAME: &str = "forward";

/// The largest answer that goes through another front or is kept for a key.
const ANSWER_MAX_BYTES: usize = 512 << 10;

type Headers = Vec<(Box<str>, Box<[u8]>)>;

/// Why a request goes to another front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReason {
    /// The own failure domain can't serve it.
    OtherDomain,
    /// The other front keeps the request's idempotency key.
    KeyHome,
}

/// A whole request on its way to another front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Why it is forwarded.
    pub reason: ForwardReason,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: Box<str>,
    /// The path and query.
    pub path_and_query: Box<str>,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// The time that is left until the caller must be answered.
    pub timeout_ms: u64,
}

/// A whole answer, as another front gives it or as it is kept for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether a target ran the request.
    pub verdict: Verdict,
    /// Why the request was refused or lost; absent if a target answered.
    pub cause: Option<Box<str>>,
}

impl ForwardRequest {
    /// Takes a request whole.
    pub fn of(
        reason: ForwardReason,
        service: &ServiceName,
        head: &RequestHead,
        body: &Bytes,
        timeout_ms: u64,
    ) -> Self {
        Self {
            reason,
            service: service.clone(),
            method: head.method.as_str().into(),
            path_and_query: head.path_and_query.clone(),
            headers: to_list(&head.headers),
            body: body.to_vec(),
            timeout_ms,
        }
    }

    /// Returns the request's parts.
    ///
    /// # Errors
    /// The method is none; nothing ran.
    pub fn into_parts(self) -> Result<(RequestHead, RequestBody), RequestError> {
        let method = self.method.parse().map_err(|_| {
            RequestError::not_run(Cause::RequestInvalid, "the forwarded method is invalid")
        })?;
        let head = RequestHead {
            method,
            path_and_query: self.path_and_query,
            headers: from_list(self.headers),
            allows_chunked: true,
        };
        Ok((head, RequestBody::unlimited(self.body.into())))
    }
}

impl ForwardAnswer {
    /// Reads an answer whole.
    ///
    /// # Errors
    /// The body broke off or is too large; the request may have run.
    pub async fn read(answer: Response<AnswerBody>) -> Result<Self, RequestError> {
        let (head, mut body) = answer.into_parts();
        let mut whole = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| unreadable(&error.to_string()))?;
            whole.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            if whole.len() > ANSWER_MAX_BYTES {
                return Err(unreadable("it is too large to be kept"));
            }
        }
        Ok(Self {
            status: head.status.as_u16(),
            headers: to_list(&head.headers),
            body: whole,
            verdict: Verdict::Ran,
            cause: None,
        })
    }

    /// Takes the outcome of a request that got no answer.
    pub fn failed(error: &RequestError) -> Self {
        Self {
            status: error.cause.status(error.verdict).as_u16(),
            headers: Vec::new(),
            body: error.detail.as_bytes().to_vec(),
            verdict: error.verdict,
            cause: Some(error.cause.name().into()),
        }
    }

    /// Returns the answer or the error that it stands for.
    ///
    /// # Errors
    /// The other front refused or lost the request.
    pub fn into_result(self) -> Result<Response<AnswerBody>, RequestError> {
        if let Some(cause) = self.cause {
            let detail = String::from_utf8_lossy(&self.body).into_owned();
            return Err(RequestError {
                cause: cause.parse().unwrap_or(Cause::NoTarget),
                verdict: self.verdict,
                detail: detail.into(),
            });
        }
        let mut answer = Response::new(full_body(self.body));
        *answer.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        *answer.headers_mut() = from_list(self.headers);
        Ok(answer)
    }
}

fn unreadable(cause: &str) -> RequestError {
    let detail = format!("the answer can't be read whole: {cause}");
    RequestError::may_have_run(Cause::AnswerIncomplete, detail)
}

fn to_list(headers: &HeaderMap) -> Headers {
    let entries = headers.iter();
    entries
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

fn from_list(headers: Headers) -> HeaderMap {
    let entries = headers.into_iter().filter_map(|(name, value)| {
        let name: HeaderName = name.parse().ok()?;
        Some((name, HeaderValue::from_bytes(&value).ok()?))
    });
    // A name may come more than once.
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        headers.append(name, value);
    }
    headers
}
