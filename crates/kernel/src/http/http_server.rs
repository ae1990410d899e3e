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
/// How long an idle connection stays open after the stop, to read requests that have already
/// arrived.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(100);

/// An HTTP/1 server with one task per connection and a limit on concurrent connections.
pub struct HttpServer {
    prefix: &'static str,
    address: SocketAddr,
    listener: TcpListener,
    connections: Arc<Semaphore>,
    handler: Arc<dyn HttpHandler>,
}

impl HttpServer {
    /// Binds the server to an address. `prefix` starts the server's log lines.
    ///
    /// At `connections_max` open connections, further ones wait in the listener's backlog.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
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

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the kernel stops. Requests in flight are completed.
    ///
    /// While the kernel drains, answers carry `Connection: close`.
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
            () = self.wait_for_shutdown() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            debug!("{}: connection closed with an error: {error}", self.prefix);
        }
    }

    /// Waits until the connection may be shut down. The delay lets the server read requests that
    /// arrived before the stop.
    async fn wait_for_shutdown(&self) {
        self.stopping.cancelled().await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
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
