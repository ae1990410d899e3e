use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use eyre::WrapErr;
use h2::RecvStream;
use h2::server::SendResponse;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::PeerHandlers;
use super::body;

const FRAME_MAX_BYTES: usize = 64 << 20;
const STREAMS_MAX: u32 = 1_024;
const WINDOW_BYTES: u32 = 1 << 20;

/// Takes calls of other daemons.
pub struct PeerServer {
    address: SocketAddr,
}

impl PeerServer {
    /// Creates the service; nothing listens yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

#[async_trait]
impl Service for PeerServer {
    fn name(&self) -> &'static str {
        names::PEER_HANDLERS
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let listener = TcpListener::bind(self.address)
            .await
            .wrap_err_with(|| format!("can't listen on {}", self.address))?;
        let handlers = Arc::new(PeerHandlers::default());
        kernel
            .registry()
            .provide::<PeerHandlers>(names::PEER_HANDLERS, Arc::clone(&handlers));
        let stopping = kernel.stopping();
        let tasks = kernel.tasks();
        kernel.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stopping.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                match accepted {
                    Ok((stream, _)) => {
                        let handlers = Arc::clone(&handlers);
                        let stopping = stopping.clone();
                        tasks.spawn(serve_connection(stream, handlers, stopping, tasks.clone()));
                    }
                    Err(error) => warn!("peer: can't accept a connection: {error}"),
                }
            }
        });
        Ok(())
    }
}

async fn serve_connection(
    stream: TcpStream,
    handlers: Arc<PeerHandlers>,
    stopping: CancellationToken,
    tasks: TaskTracker,
) {
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(STREAMS_MAX)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(error) => {
            warn!("peer: a connection is not h2: {error}");
            return;
        }
    };
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled(), if !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
                continue;
            }
            accepted = connection.accept() => accepted,
        };
        match accepted {
            Some(Ok((request, respond))) => {
                tasks.spawn(serve_call(request, respond, Arc::clone(&handlers)));
            }
            Some(Err(error)) => {
                debug!("peer: a connection broke: {error}");
                return;
            }
            None => return,
        }
    }
}

async fn serve_call(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handlers: Arc<PeerHandlers>,
) {
    let name = request.uri().path().trim_start_matches('/').to_owned();
    let mut stream = request.into_body();
    let result = match (
        handlers.find(&name),
        body::receive(&mut stream, FRAME_MAX_BYTES).await,
    ) {
        (Some(handler), Ok(frame)) => handler.call(frame).await,
        (None, _) => Err(CallError::not_run(format!("there is no call {name:?}"))),
        (_, Err(cause)) => Err(CallError::not_run(cause)),
    };
    let (status, body) = match result {
        Ok(frame) => (StatusCode::OK, frame),
        Err(error) if error.verdict == Verdict::NotRun => (
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from(error.cause.into_string()),
        ),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(error.cause.into_string()),
        ),
    };
    let mut head = Response::new(());
    *head.status_mut() = status;
    let sent = match respond.send_response(head, false) {
        Ok(mut stream) => body::send(&mut stream, body).await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        debug!("peer: the answer to {name} was not sent: {error}");
    }
}
