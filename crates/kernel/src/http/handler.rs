use std::error::Error;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;

use super::ClientBody;

/// The body of an HTTP answer, complete or streamed.
pub type AnswerBody = BoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Handles the requests that arrive at one listener.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request. Failures are reported in the answer's status.
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody>;
}

/// Builds a complete, unstreamed body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
