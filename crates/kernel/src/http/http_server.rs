use std::convert::Infallible;
use std::io;
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
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::ClientBody;
use super::HttpHandler;
use super::tracked_answer::TrackedAnswer;
use super::tracked_stream::TrackedStream;
use crate::Kernel;
use crate::memory::ConnectionMemory;
use crate::memory::MemoryAccount;

const HEADERS_MAX: usize = 100;
/// Part of the room that each connection takes in the account.
const HEADER_BUFFER_MAX_BYTES: usize = 16 << 10;
/// The size of a connection's send buffer, larger than any answer but the metrics.
const SEND_BUFFER_BYTES: u32 = 16 << 10;
/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long an idle connection stays open after the stop, to read requests that have already
/// arrived.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(100);
/// The interval between two checks whether a connection may be closed: to make room for another one, or
/// because its client makes no progress while the server stops.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
    /// At `connections_max` open connections, a new one takes the place of one whose client makes no
    /// progress. Without such a connection, it waits.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub async fn bind(
        prefix: &'static str,
        address: SocketAddr,
        connections_max: usize,
        handler: Arc<dyn HttpHandler>,
    ) -> eyre::Result<Self> {
        let listener = listen(address).wrap_err_with(|| format!("can't listen on {address}"))?;
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
        let account = kernel.memory();
        kernel.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    biased;
                    accepted = self.accept(&account) => accepted,
                    () = stopping.cancelled() => return,
                };
                let Some((stream, memory, permit)) = accepted else {
                    continue;
                };
                let connection = Connection {
                    prefix: self.prefix,
                    handler: Arc::clone(&self.handler),
                    draining: draining.clone(),
                    stopping: stopping.clone(),
                    memory,
                    _permit: permit,
                };
                tasks.spawn(connection.serve(stream));
            }
        });
    }

    async fn accept(
        &self,
        account: &Arc<MemoryAccount>,
    ) -> Option<(TcpStream, Arc<ConnectionMemory>, OwnedSemaphorePermit)> {
        let stream = match self.listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("{}: can't accept a connection: {error}", self.prefix);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                return None;
            }
        };
        let permit = self.acquire_permit(account).await?;
        let memory = account.open(self.prefix).await;
        Some((stream, memory, permit))
    }

    async fn acquire_permit(&self, account: &MemoryAccount) -> Option<OwnedSemaphorePermit> {
        loop {
            let free = Arc::clone(&self.connections).acquire_owned();
            if self.connections.available_permits() == 0 {
                account.evict_one(self.prefix);
            }
            if let Ok(acquired) = timeout(STALL_CHECK_INTERVAL, free).await {
                return acquired.ok();
            }
        }
    }
}

/// Opens a listener whose connections have small send buffers. The system would otherwise take megabytes of
/// answers for a client that reads none, and the client would seem to make progress.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct Connection {
    prefix: &'static str,
    handler: Arc<dyn HttpHandler>,
    draining: CancellationToken,
    stopping: CancellationToken,
    memory: Arc<ConnectionMemory>,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = TrackedStream::new(stream, Arc::clone(&self.memory));
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
            result = connection.as_mut() => Some(result),
            () = self.memory.evicted() => None,
            () = self.wait_for_shutdown() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    result = connection.as_mut() => Some(result),
                    () = self.memory.evicted() => None,
                    () = self.wait_for_stall() => None,
                }
            }
        };
        match result {
            Some(Ok(())) => {}
            Some(Err(error)) => {
                debug!("{}: connection closed with an error: {error}", self.prefix);
            }
            None => debug!("{}: connection without progress closed", self.prefix),
        }
    }

    /// Waits until a request or an answer is incomplete without progress.
    async fn wait_for_stall(&self) {
        while !self.memory.is_stalled() {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the connection may be shut down. The delay lets the server read requests that
    /// arrived before the stop.
    async fn wait_for_shutdown(&self) {
        self.stopping.cancelled().await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<TrackedAnswer>, Infallible> {
        self.memory.begin_running();
        let memory = Arc::clone(&self.memory);
        let request = request.map(|incoming| ClientBody::new(incoming, memory));
        let mut answer = self.handler.handle(request).await;
        if self.draining.is_cancelled() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let memory = Arc::clone(&self.memory);
        Ok(answer.map(|body| TrackedAnswer::new(body, memory)))
    }
}
