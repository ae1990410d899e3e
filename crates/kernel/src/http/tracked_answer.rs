use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::AnswerBody;
use crate::memory::ConnectionMemory;

/// The body of an answer. While its next bytes are awaited, the connection does not wait for its client.
pub(super) struct TrackedAnswer {
    body: AnswerBody,
    memory: Arc<ConnectionMemory>,
}

impl TrackedAnswer {
    pub(super) fn new(body: AnswerBody, memory: Arc<ConnectionMemory>) -> Self {
        memory.begin_answering();
        Self { body, memory }
    }
}

impl Body for TrackedAnswer {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match polled {
            Poll::Pending => self.memory.begin_running(),
            Poll::Ready(_) => self.memory.begin_answering(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
