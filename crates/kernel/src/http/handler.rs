use std::error::Error;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

/// The body of an answer, whole or streamed.
pub type AnswerBody = BoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Answers the requests of one listener.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody>;
}

/// Returns a body that is sent as it is.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
