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

/// The name of the peer call that forwards a request.
pub const FORWARD_CALL: &str = "forward";

/// The limit of an answer that is forwarded between fronts or retained for a key.
const ANSWER_MAX_BYTES: usize = 512 << 10;

type HeaderList = Vec<(Box<str>, Box<[u8]>)>;

/// Why a request is forwarded to another front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReason {
    /// The sender's failure domain cannot serve the request.
    OtherDomain,
    /// The receiver is the home of the request's idempotency key.
    KeyHome,
}

/// A whole request that is forwarded to another front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Why the request is forwarded.
    pub reason: ForwardReason,
    /// The service that the sender routed the request to.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path and query, as sent to targets.
    pub path_and_query: Box<str>,
    /// The headers.
    pub headers: HeaderList,
    /// The body.
    pub body: Vec<u8>,
    /// The remaining time until the caller's deadline.
    pub timeout_ms: u64,
}

/// A whole answer, as another front returns it or as a key table retains it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BufferedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderList,
    /// The body.
    pub body: Vec<u8>,
    /// Whether a target ran the request.
    pub verdict: Verdict,
    /// The cause label of a request that was refused or lost; `None` if a target answered.
    pub cause: Option<Box<str>>,
}

impl ForwardRequest {
    /// Copies a request's head and body into a message.
    pub fn from_parts(
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
            headers: header_list(&head.headers),
            body: body.to_vec(),
            timeout_ms,
        }
    }

    /// Splits the message into the request's head and body.
    ///
    /// # Errors
    /// The method is invalid; the request did not run.
    pub fn into_parts(self) -> Result<(RequestHead, RequestBody), RequestError> {
        let method = self.method.parse().map_err(|_| {
            RequestError::not_run(Cause::RequestInvalid, "the forwarded method is invalid")
        })?;
        let head = RequestHead {
            method,
            path_and_query: self.path_and_query,
            headers: header_map(self.headers),
            allows_chunked: true,
        };
        Ok((head, RequestBody::uncounted(self.body.into())))
    }
}

impl BufferedAnswer {
    /// Reads an answer to its end.
    ///
    /// # Errors
    /// The body broke off or is too large. The request may have run.
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
            headers: header_list(&head.headers),
            body: whole,
            verdict: Verdict::Ran,
            cause: None,
        })
    }

    /// Creates the message for a request that failed.
    pub fn from_error(error: &RequestError) -> Self {
        Self {
            status: error.cause.status(error.verdict).as_u16(),
            headers: Vec::new(),
            body: error.detail.as_bytes().to_vec(),
            verdict: error.verdict,
            cause: Some(error.cause.name().into()),
        }
    }

    /// Converts the message back into an HTTP answer or an error.
    ///
    /// # Errors
    /// The message stands for a request that was refused or lost.
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
        *answer.headers_mut() = header_map(self.headers);
        Ok(answer)
    }
}

fn unreadable(reason: &str) -> RequestError {
    let detail = format!("the answer can't be read whole: {reason}");
    RequestError::may_have_run(Cause::AnswerIncomplete, detail)
}

fn header_list(headers: &HeaderMap) -> HeaderList {
    let entries = headers.iter();
    entries
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

fn header_map(headers: HeaderList) -> HeaderMap {
    let entries = headers.into_iter().filter_map(|(name, value)| {
        let name: HeaderName = name.parse().ok()?;
        Some((name, HeaderValue::from_bytes(&value).ok()?))
    });
    // `append` keeps every value of a header that occurs more than once.
    let mut headers = HeaderMap::new();
    for (name, value) in entries {
        headers.append(name, value);
    }
    headers
}
