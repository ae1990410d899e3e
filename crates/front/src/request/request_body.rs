use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::Cause;
use super::RequestError;

/// A whole request body; its share of the front's body memory is released when dropped.
#[derive(Debug)]
pub struct RequestBody {
    /// The body's bytes.
    pub bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl RequestBody {
    /// Wraps bytes that another limit covers; they do not count against the front's body memory.
    pub fn uncounted(bytes: Bytes) -> Self {
        Self {
            bytes,
            _permit: None,
        }
    }
}

/// Reads a whole body of limited size; each byte acquires one permit of `memory`.
///
/// # Errors
/// The body is too large, late or incomplete, or the memory is used up. The request did not run.
pub async fn read_request_body<B>(
    body: B,
    max_bytes: usize,
    timeout: Duration,
    memory: &Arc<Semaphore>,
) -> Result<RequestBody, RequestError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    match tokio::time::timeout(timeout, collect(body, max_bytes, memory)).await {
        Ok(result) => result,
        Err(_) => {
            let detail = "the request body did not arrive in time";
            Err(RequestError::not_run(Cause::BodyTimeout, detail))
        }
    }
}

async fn collect<B>(
    mut body: B,
    max_bytes: usize,
    memory: &Arc<Semaphore>,
) -> Result<RequestBody, RequestError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut whole = BytesMut::new();
    let mut held: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| RequestError::not_run(Cause::BodyIncomplete, error.to_string()))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if whole.len() + chunk.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        let permit = Arc::clone(memory)
            .try_acquire_many_owned(chunk.len() as u32)
            .map_err(|_| {
                let detail = "the front's memory for request bodies is taken";
                RequestError::not_run(Cause::MemoryLimit, detail)
            })?;
        match &mut held {
            Some(held) => held.merge(permit),
            None => held = Some(permit),
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(RequestBody {
        bytes: whole.freeze(),
        _permit: held,
    })
}

fn too_large(max_bytes: usize) -> RequestError {
    let detail = format!("the request body is larger than {max_bytes} bytes");
    RequestError::not_run(Cause::BodyTooLarge, detail)
}
