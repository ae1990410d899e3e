use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::memory::ConnectionMemory;
use crate::memory::MemoryShortage;
use crate::memory::Reservation;

/// The body of a client's request. While it is incomplete, its connection may be closed to make room.
#[derive(Debug)]
pub struct ClientBody {
    incoming: Incoming,
    memory: Arc<ConnectionMemory>,
}

impl ClientBody {
    pub(super) fn new(incoming: Incoming, memory: Arc<ConnectionMemory>) -> Self {
        Self { incoming, memory }
    }

    /// Reserves room for bytes of the body and for their copies, beside `held_bytes` of the same request.
    ///
    /// # Errors
    /// Too few bytes are free, and too few are held by connections without progress.
    pub async fn reserve(
        &self,
        bytes: usize,
        held_bytes: usize,
    ) -> Result<Reservation, MemoryShortage> {
        self.memory.reserve(bytes, held_bytes).await
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Pending => self.memory.begin_receiving(),
            Poll::Ready(None) => self.memory.begin_running(),
            Poll::Ready(Some(_)) if self.incoming.is_end_stream() => self.memory.begin_running(),
            Poll::Ready(Some(_)) => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
