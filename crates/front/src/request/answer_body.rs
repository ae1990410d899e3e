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
use crate::target::Lease;

/// Answers up to this size are read whole before any of it is passed on.
const WHOLE_MAX_BYTES: u64 = 64 << 10;
/// The largest answer that is read whole for a caller who needs a length.
const LENGTH_NEEDED_MAX_BYTES: usize = 1 << 20;
const PIECES_MAX: usize = 4;
/// A caller that takes nothing for this time loses the rest of its answer.
const CALLER_STALL_MAX: Duration = Duration::from_secs(10);
/// A target that sends nothing for this time has broken its answer off.
const TARGET_STALL_MAX: Duration = Duration::from_secs(30);

type BodyError = Box<dyn Error + Send + Sync>;

/// A part of an answer on its way to the caller.
enum Piece {
    Frame(Frame<Bytes>),
    End,
    Broken(BodyError),
}

/// An answer's body; it is whole only if its end was sent.
struct PieceBody {
    pieces: mpsc::Receiver<Piece>,
    is_done: bool,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let piece = ready!(self.pieces.poll_recv(context));
        self.is_done = !matches!(piece, Some(Piece::Frame(_)));
        Poll::Ready(match piece {
            Some(Piece::Frame(frame)) => Some(Ok(frame)),
            Some(Piece::End) => None,
            Some(Piece::Broken(error)) => Some(Err(error)),
            None => Some(Err("the answer was given up".into())),
        })
    }
}

/// Takes over a target's framed body; the slot is held until the target has sent its end.
pub(super) async fn take(
    answer: Response<Incoming>,
    lease: Lease,
    allows_chunked: bool,
) -> Result<Response<AnswerBody>, RequestError> {
    let length = answer.body().size_hint().exact();
    let (head, body) = answer.into_parts();
    let body = match length {
        Some(length) if length <= WHOLE_MAX_BYTES => full_body(whole(body).await?),
        None if !allows_chunked => {
            let limited = http_body_util::Limited::new(body, LENGTH_NEEDED_MAX_BYTES);
            full_body(whole(limited).await?)
        }
        _ => stream(body, lease),
    };
    Ok(Response::from_parts(head, body))
}

/// Refuses a body whose end is only the end of the connection: a break looks the same.
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

async fn whole<B>(body: B) -> Result<Bytes, RequestError>
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

/// Passes pieces on as they come; a target's slot doesn't wait for a slow caller for ever.
fn stream(body: Incoming, lease: Lease) -> AnswerBody {
    let (sender, pieces) = mpsc::channel(PIECES_MAX);
    tokio::spawn(pump(body, lease, sender));
    let is_done = false;
    PieceBody { pieces, is_done }.boxed()
}

async fn pump(mut body: Incoming, _lease: Lease, sender: mpsc::Sender<Piece>) {
    loop {
        let piece = match tokio::time::timeout(TARGET_STALL_MAX, body.frame()).await {
            Ok(Some(Ok(frame))) => Piece::Frame(frame),
            Ok(Some(Err(error))) => Piece::Broken(error.into()),
            Ok(None) => Piece::End,
            Err(_) => Piece::Broken("the target sent nothing for too long".into()),
        };
        let is_last = !matches!(piece, Piece::Frame(_));
        let sent = tokio::time::timeout(CALLER_STALL_MAX, sender.send(piece)).await;
        if is_last || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
