use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// The injected network conditions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Whether data is held back until the cut ends; connections stay open.
    pub is_cut: bool,
    /// The one-way delay of each chunk of data.
    pub delay_ms: u64,
    /// The exclusive upper bound of the random addition to the delay; zero adds nothing.
    pub jitter_ms: u64,
}

/// A proxy that forwards TCP connections to one address.
#[derive(Debug)]
pub struct TcpLink {
    to: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl TcpLink {
    /// Forwards the connections of a listener to `to`.
    pub fn start(listener: TcpListener, to: SocketAddr) -> Arc<Self> {
        let link = Arc::new(Self {
            to,
            state: watch::Sender::default(),
        });
        tokio::spawn(Arc::clone(&link).accept(listener));
        link
    }

    /// Replaces the conditions, also for open connections.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((near, _)) = listener.accept().await else {
                continue;
            };
            let (to, state) = (self.to, self.state.subscribe());
            tokio::spawn(async move {
                let Ok(far) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::join!(
                    forward(near_read, far_write, state.clone()),
                    forward(far_read, near_write, state)
                );
            });
        }
    }
}

/// Copies data in one direction until either end closes.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => return,
        };
        let Ok(now) = state
            .wait_for(|state| !state.is_cut)
            .await
            .map(|state| *state)
        else {
            return;
        };
        let jitter_ms = if now.jitter_ms == 0 {
            0
        } else {
            rand::random::<u64>() % now.jitter_ms
        };
        tokio::time::sleep(Duration::from_millis(now.delay_ms + jitter_ms)).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
