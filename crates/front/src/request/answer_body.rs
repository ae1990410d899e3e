use std::error::Error;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::full_body;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;

use super::Cause;
use super::RequestError;
use crate::target::SlotPermit;

/// Answers up to this length are buffered whole before the caller receives any byte.
const BUFFERED_MAX_BYTES: u64 = 64 << 10;
/// The limit of an answer of unknown length that is buffered for an HTTP/1.0 caller.
const UNCHUNKED_MAX_BYTES: usize = 1 << 20;
const QUEUED_PARTS_MAX: usize = 4;
/// A caller that reads nothing for this time loses the rest of its answer.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer counts as broken off when its target sends nothing for this time.
const TARGET_STALL_TIMEOUT: Duration = Duration::from_secs(30);

type BodyError = Box<dyn Error + Send + Sync>;

/// A part of an answer that is relayed to the caller.
enum BodyPart {
    Frame(Frame<Bytes>),
    End,
    Broken(BodyError),
}

/// A relayed answer body; the caller receives the body as broken if the parts stop without `End`.
struct StreamedBody {
    parts: mpsc::Receiver<BodyPart>,
    is_done: bool,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(context));
        self.is_done = !matches!(part, Some(BodyPart::Frame(_)));
        Poll::Ready(match part {
            Some(BodyPart::Frame(frame)) => Some(Ok(frame)),
            Some(BodyPart::End) => None,
            Some(BodyPart::Broken(error)) => Some(Err(error)),
            None => Some(Err("the answer was given up".into())),
        })
    }
}

/// Buffers a target's framed body, or streams it to the caller.
///
/// The slot is held until the target has sent the end of the body, or until the relay breaks off.
pub(super) async fn buffer_or_stream(
    answer: Response<Incoming>,
    slot: SlotPermit,
    allows_chunked: bool,
) -> Result<Response<AnswerBody>, RequestError> {
    let length = answer.body().size_hint().exact();
    let (head, body) = answer.into_parts();
    let body = match length {
        Some(length) if length <= BUFFERED_MAX_BYTES => full_body(buffer(body).await?),
        None if !allows_chunked => {
            let limited = http_body_util::Limited::new(body, UNCHUNKED_MAX_BYTES);
            full_body(buffer(limited).await?)
        }
        _ => stream(body, slot),
    };
    Ok(Response::from_parts(head, body))
}

/// Refuses a body that ends with the connection: a broken connection looks the same.
pub(super) fn check_framing(answer: &Response<Incoming>) -> Result<(), RequestError> {
    let is_framed = answer.body().is_end_stream()
        || answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(TRANSFER_ENCODING);
    if is_framed {
        return Ok(());
    }
    let detail = "the target's answer has no length";
    Err(RequestError::may_have_run(Cause::AnswerInvalid, detail))
}

async fn buffer<B>(body: B) -> Result<Bytes, RequestError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let collected = body.collect().await.map_err(|error| {
        let detail = format!("the target's answer broke off: {error}");
        RequestError::may_have_run(Cause::AnswerIncomplete, detail)
    })?;
    Ok(collected.to_bytes())
}

/// Relays the parts of a body as they arrive.
///
/// A caller that stalls for [`CALLER_STALL_TIMEOUT`] loses the rest, which releases the slot.
fn stream(body: Incoming, slot: SlotPermit) -> AnswerBody {
    let (sender, parts) = mpsc::channel(QUEUED_PARTS_MAX);
    tokio::spawn(relay(body, slot, sender));
    let is_done = false;
    StreamedBody { parts, is_done }.boxed()
}

async fn relay(mut body: Incoming, _slot: SlotPermit, sender: mpsc::Sender<BodyPart>) {
    loop {
        let part = match tokio::time::timeout(TARGET_STALL_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => BodyPart::Frame(frame),
            Ok(Some(Err(error))) => BodyPart::Broken(error.into()),
            Ok(None) => BodyPart::End,
            Err(_) => BodyPart::Broken("the target sent nothing for too long".into()),
        };
        let is_last = !matches!(part, BodyPart::Frame(_));
        let sent = tokio::time::timeout(CALLER_STALL_TIMEOUT, sender.send(part)).await;
        if is_last || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
