use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use eyre::WrapErr;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::PeerHandlers;
use super::PeerLimits;
use super::call_context::CallContext;

const WINDOW_BYTES: u32 = 1 << 20;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a stopping daemon waits for the peer to close an idle connection.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

enum ListenerSource {
    Address(SocketAddr),
    Bound(TcpListener),
}

/// Accepts connections of other daemons and serves their calls.
pub struct PeerServer {
    source: ListenerSource,
    limits: PeerLimits,
}

impl PeerServer {
    /// Creates a service that binds `address` when it starts.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            source: ListenerSource::Address(address),
            limits: PeerLimits::default(),
        }
    }

    /// Creates a service on a listener that is already bound.
    pub fn with_listener(listener: TcpListener, limits: PeerLimits) -> Self {
        Self {
            source: ListenerSource::Bound(listener),
            limits,
        }
    }
}

#[async_trait]
impl Service for PeerServer {
    fn name(&self) -> &'static str {
        names::PEER_HANDLERS
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let listener = match self.source {
            ListenerSource::Bound(listener) => listener,
            ListenerSource::Address(address) => TcpListener::bind(address)
                .await
                .wrap_err_with(|| format!("can't listen on {address}"))?,
        };
        let context = Arc::new(CallContext::new(self.limits, kernel.memory()));
        let registry = kernel.registry();
        let metrics = registry.find::<Metrics>(names::METRICS)?;
        let help = "Calls and connections of peers that were refused";
        context
            .refusals
            .register(&metrics, "peer_calls_refused", help);
        registry.provide::<PeerHandlers>(names::PEER_HANDLERS, Arc::clone(&context.handlers));
        let acceptor = Acceptor {
            connections: Arc::new(Semaphore::new(self.limits.connections_max)),
            context,
            stopping: kernel.stopping(),
            tasks: kernel.tasks(),
        };
        kernel.spawn(acceptor.run(listener));
        Ok(())
    }
}

struct Acceptor {
    context: Arc<CallContext>,
    connections: Arc<Semaphore>,
    stopping: CancellationToken,
    tasks: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stopping.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => self.admit(stream, from),
                Err(error) => warn!("peer: can't accept a connection: {error}"),
            }
        }
    }

    fn admit(&self, stream: TcpStream, from: SocketAddr) {
        let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() else {
            let cause = format!("connection from {from} refused: too many connections");
            self.context.refusals.record("too-many-connections", cause);
            return;
        };
        let context = Arc::clone(&self.context);
        let stopping = self.stopping.clone();
        let tasks = self.tasks.clone();
        self.tasks.spawn(async move {
            serve_connection(stream, context, stopping, tasks).await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    context: Arc<CallContext>,
    stopping: CancellationToken,
    tasks: TaskTracker,
) {
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(context.limits.streams_max)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream)).await;
    let Ok(Ok(mut connection)) = handshake else {
        context.refusals.record(
            "not-h2",
            "connection refused: the h2 handshake failed or timed out",
        );
        return;
    };
    // Each call in flight holds a clone: a strong count of 1 means that the connection is idle.
    let in_flight = Arc::new(());
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled(), if !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
                continue;
            }
            () = tokio::time::sleep(IDLE_CLOSE_TIMEOUT), if is_stopping => {
                if Arc::strong_count(&in_flight) == 1 {
                    return;
                }
                continue;
            }
            accepted = connection.accept() => accepted,
        };
        match accepted {
            Some(Ok((request, respond))) => {
                let context = Arc::clone(&context);
                let in_flight = Arc::clone(&in_flight);
                tasks.spawn(async move {
                    context.serve(request, respond).await;
                    drop(in_flight);
                });
            }
            Some(Err(error)) => {
                debug!("peer: connection failed: {error}");
                return;
            }
            None => return,
        }
    }
}
