use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;

/// Builds an HTTP answer with a JSON body.
pub fn json_answer<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        CONTENT_TYPE,
        "application/json".parse().expect("a valid value"),
    );
    answer
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
/// The body is truncated or larger than the limit. The error is a description of the failure.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, Box<str>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string().into()),
    }
}
