use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
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

use super::AnswerBody;
use super::HttpHandler;
use crate::Kernel;

const HEADERS_MAX: usize = 100;
const HEADER_BUFFER_MAX_BYTES: usize = 32 << 10;
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The time in which a connection's unread bytes are still read after the stop.
const LINGER: Duration = Duration::from_millis(100);

/// A listener with one task for each connection and a limit on their number.
pub struct HttpServer {
    prefix: &'static str,
    address: SocketAddr,
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
        let address = listener.local_addr()?;
        let connections = Arc::new(Semaphore::new(connections_max));
        Ok(Self {
            prefix,
            address,
            listener,
            connections,
            handler,
        })
    }

    /// Returns the address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the kernel stops; requests in flight finish.
    ///
    /// Answers of a draining kernel ask the caller to close the connection.
    pub fn spawn(self, kernel: &Kernel) {
        let stopping = kernel.stopping();
        let draining = kernel.draining();
        let tasks = kernel.tasks();
        kernel.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    biased;
                    accepted = self.accept() => accepted,
                    () = stopping.cancelled() => return,
                };
                let Some((stream, permit)) = accepted else {
                    continue;
                };
                let connection = Connection {
                    prefix: self.prefix,
                    handler: Arc::clone(&self.handler),
                    draining: draining.clone(),
                    stopping: stopping.clone(),
                    _permit: permit,
                };
                tasks.spawn(connection.serve(stream));
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

/// One connection and what its requests need.
struct Connection {
    prefix: &'static str,
    handler: Arc<dyn HttpHandler>,
    draining: CancellationToken,
    stopping: CancellationToken,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_headers(HEADERS_MAX)
            .max_buf_size(HEADER_BUFFER_MAX_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let result = tokio::select! {
            biased;
            result = connection.as_mut() => result,
            () = self.wait_for_end() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            debug!("{}: a connection broke: {error}", self.prefix);
        }
    }

    /// Waits until an idle connection may be closed: bytes that arrived before are read by then.
    async fn wait_for_end(&self) {
        self.stopping.cancelled().await;
        tokio::time::sleep(LINGER).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Infallible> {
        let mut answer = self.handler.handle(request).await;
        if self.draining.is_cancelled() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        Ok(answer)
    }
}
