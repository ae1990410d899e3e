use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// The part of a request that a raw target reads before it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadUpTo {
    /// This many bytes from the start of the head, or the whole request if the request is shorter.
    Bytes(usize),
    /// The whole head.
    Head,
    /// The head and the whole body.
    Whole,
}

/// What a raw target does with the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Closes the connection in the regular way.
    Close,
    /// Resets the connection (TCP RST).
    Reset,
    /// Leaves the connection open and never sends or reads again.
    Hang,
    /// Reads the next request on the same connection.
    KeepAlive,
}

/// The scripted reaction of a raw target to each request.
#[derive(Clone, Debug)]
pub struct Script {
    /// The part of the request that is read first.
    pub read: ReadUpTo,
    /// The raw bytes that are then sent; they need not be valid HTTP.
    pub answer: Vec<u8>,
    /// What happens to the connection afterwards.
    pub after_answer: AfterAnswer,
}

/// A target on plain TCP, which can cut off a request or an answer at any byte.
#[derive(Debug)]
pub struct RawTarget {
    address: SocketAddr,
    script: Script,
    heads_received: AtomicU64,
}

impl RawTarget {
    /// Binds a free loopback port and serves connections by the script.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(script: Script) -> eyre::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            script,
            heads_received: AtomicU64::new(0),
        });
        let serving = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = Arc::clone(&serving);
                tokio::spawn(async move {
                    // Scripts break connections on purpose.
                    let _ = target.serve(stream).await;
                });
            }
        });
        Ok(target)
    }

    /// Returns the loopback address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests whose complete head arrived, so that a handler may have run.
    pub fn heads_received(&self) -> u64 {
        self.heads_received.load(Ordering::SeqCst)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut received = Vec::new();
        loop {
            self.read(&mut stream, &mut received).await?;
            stream.write_all(&self.script.answer).await?;
            match self.script.after_answer {
                AfterAnswer::Close => return Ok(()),
                AfterAnswer::Reset => return stream.set_zero_linger(),
                AfterAnswer::Hang => std::future::pending().await,
                AfterAnswer::KeepAlive => received.clear(),
            }
        }
    }

    async fn read(&self, stream: &mut TcpStream, received: &mut Vec<u8>) -> std::io::Result<()> {
        let mut is_head_counted = false;
        loop {
            let head_end = received
                .windows(HEAD_END.len())
                .position(|bytes| bytes == HEAD_END)
                .map(|at| at + HEAD_END.len());
            let whole_end = head_end.map(|end| end + content_length(&received[..end]));
            let is_whole = whole_end.is_some_and(|end| received.len() >= end);
            if head_end.is_some() && !is_head_counted {
                is_head_counted = true;
                self.heads_received.fetch_add(1, Ordering::SeqCst);
            }
            let has_read_enough = match self.script.read {
                ReadUpTo::Bytes(count) => received.len() >= count,
                ReadUpTo::Head => head_end.is_some(),
                ReadUpTo::Whole => is_whole,
            };
            if has_read_enough || is_whole {
                return Ok(());
            }
            // Reads single bytes, so that nothing beyond the requested point is consumed.
            received.push(stream.read_u8().await?);
        }
    }
}

fn content_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
