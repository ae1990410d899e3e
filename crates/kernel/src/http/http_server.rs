use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::HttpHandler;
use crate::Kernel;

const HEADERS_MAX: usize = 100;
const HEADER_BUFFER_MAX_BYTES: usize = 32 << 10;
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A listener with one task for each connection and a limit on their number.
pub struct HttpServer {
    prefix: &'static str,
    listener: TcpListener,
    connections: Arc<Semaphore>,
    handler: Arc<dyn HttpHandler>,
}

impl HttpServer {
    /// Binds the address of a service; the prefix starts its log lines.
    ///
    /// # Errors
    /// The address is taken or not this machine's.
    pub async fn bind(
        prefix: &'static str,
        address: SocketAddr,
        connections_max: usize,
        handler: Arc<dyn HttpHandler>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("can't listen on {address}"))?;
        let connections = Arc::new(Semaphore::new(connections_max));
        Ok(Self {
            prefix,
            listener,
            connections,
            handler,
        })
    }

    /// Serves until the kernel stops; requests in flight finish.
    pub fn spawn(self, kernel: &Kernel) {
        let stopping = kernel.stopping();
        let tasks = kernel.tasks();
        kernel.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stopping.cancelled() => return,
                    accepted = self.accept() => accepted,
                };
                let Some((stream, permit)) = accepted else {
                    continue;
                };
                let handler = Arc::clone(&self.handler);
                let stopping = stopping.clone();
                tasks.spawn(serve_connection(
                    self.prefix,
                    stream,
                    handler,
                    stopping,
                    permit,
                ));
            }
        });
    }

    async fn accept(&self) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let permit = Arc::clone(&self.connections).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => Some((stream, permit)),
            Err(error) => {
                warn!("{}: can't accept a connection: {error}", self.prefix);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                None
            }
        }
    }
}

async fn serve_connection(
    prefix: &'static str,
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    stopping: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEADER_BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!("{prefix}: a connection broke: {error}");
    }
}
