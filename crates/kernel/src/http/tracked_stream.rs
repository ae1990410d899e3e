use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::memory::ConnectionMemory;

/// A connection whose progress is recorded in the account.
pub(super) struct TrackedStream {
    stream: TcpStream,
    memory: Arc<ConnectionMemory>,
}

impl TrackedStream {
    pub(super) fn new(stream: TcpStream, memory: Arc<ConnectionMemory>) -> Self {
        Self { stream, memory }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received_bytes = buffer.filled().len() - filled_bytes;
        if received_bytes > 0 {
            self.memory.record_received(received_bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent_bytes = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.memory.record_sent(sent_bytes);
        Poll::Ready(Ok(sent_bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent_bytes = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, buffers))?;
        self.memory.record_sent(sent_bytes);
        Poll::Ready(Ok(sent_bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.memory.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
