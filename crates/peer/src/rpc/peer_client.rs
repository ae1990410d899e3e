use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use h2::client::SendRequest;
use hyper::Request;
use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::PeerLimits;
use super::body;
use super::body::BodyBudget;
use super::deadline;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const WINDOW_BYTES: u32 = 1 << 20;

/// Calls handlers of other daemons over one cached h2 connection per address.
pub struct PeerClient {
    limits: PeerLimits,
    body_budget: BodyBudget,
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl Default for PeerClient {
    fn default() -> Self {
        let limits = PeerLimits::default();
        Self {
            limits,
            body_budget: BodyBudget::new(limits.bodies_max_bytes),
            connections: Mutex::default(),
        }
    }
}

impl PeerClient {
    /// Calls a daemon's handler by name and returns the answer's frame.
    ///
    /// The request carries the remaining time, so the peer drops the handler at the deadline.
    ///
    /// # Errors
    /// The call failed or timed out; the verdict says whether the handler may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        name: &str,
        frame: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let limit_ms = timeout.as_millis();
        let deadline = Instant::now() + timeout;
        if frame.len() > self.limits.body_max_bytes {
            return Err(CallError::not_run("the frame is too large"));
        }
        let sender = timeout_at(deadline, self.ready_sender(address))
            .await
            .map_err(|_| {
                CallError::not_run(format!("{address} took no call within {limit_ms} ms"))
            })??;
        match timeout_at(deadline, self.exchange(sender, name, frame, deadline)).await {
            Ok(result) => result,
            Err(_) => {
                // The peer may be frozen, so the next call opens a new connection.
                self.lock().remove(&address);
                Err(CallError::may_have_run(format!(
                    "{address} did not answer in {limit_ms} ms"
                )))
            }
        }
    }

    async fn ready_sender(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        let cached = self.lock().get(&address).cloned();
        if let Some(cached) = cached
            && let Ok(ready) = cached.ready().await
        {
            return Ok(ready);
        }
        let connected = match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(CallError::not_run(format!("{address} took no connection"))),
        };
        self.cache_connection(address, connected.clone());
        connected
            .ready()
            .await
            .map_err(|error| CallError::not_run(error.to_string()))
    }

    fn cache_connection(&self, address: SocketAddr, sender: SendRequest<Bytes>) {
        let mut connections = self.lock();
        if connections.len() >= self.limits.connections_max {
            connections.clear();
        }
        connections.insert(address, sender);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, SendRequest<Bytes>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(
        &self,
        mut sender: SendRequest<Bytes>,
        name: &str,
        frame: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let mut request = Request::post(format!("http://peer/{name}"))
            .body(())
            .map_err(|error| CallError::not_run(error.to_string()))?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        deadline::write(request.headers_mut(), remaining);
        let (answer, mut stream) = sender
            .send_request(request, false)
            .map_err(|error| CallError::not_run(error.to_string()))?;
        // A send error is ignored: a peer that refuses the body answers before it reads all of it.
        let _ = body::send(&mut stream, frame).await;
        let answer = answer.await.map_err(|error| call_error(&error))?;
        let status = answer.status();
        let max_bytes = self.limits.body_max_bytes;
        let received = body::receive(&mut answer.into_body(), max_bytes, &self.body_budget).await;
        match (status, received) {
            (StatusCode::OK, Ok(received)) => Ok(received.body),
            (StatusCode::OK, Err(cause)) => Err(CallError::may_have_run(cause)),
            (StatusCode::SERVICE_UNAVAILABLE, Ok(received)) => {
                Err(CallError::not_run(body_text(&received.body)))
            }
            (StatusCode::SERVICE_UNAVAILABLE, Err(_)) => {
                Err(CallError::not_run("the peer refused the call"))
            }
            (_, Ok(received)) => Err(CallError::may_have_run(body_text(&received.body))),
            (_, Err(cause)) => Err(CallError::may_have_run(cause)),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
    let not_run =
        |cause: String| CallError::not_run(format!("can't connect to {address}: {cause}"));
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| not_run(error.to_string()))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await
        .map_err(|error| not_run(error.to_string()))?;
    tokio::spawn(async move {
        // Senders report a broken connection on their next use.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Classifies a stream error.
///
/// The call has not run if the peer refused the stream or began a graceful shutdown before it.
/// After any other error the call may have run.
fn call_error(error: &h2::Error) -> CallError {
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => CallError::not_run("the peer refused the stream"),
        Some(h2::Reason::NO_ERROR) if error.is_go_away() && error.is_remote() => {
            CallError::not_run("the peer is about to stop")
        }
        _ => CallError::may_have_run(error.to_string()),
    }
}

fn body_text(body: &[u8]) -> Box<str> {
    String::from_utf8_lossy(body).into()
}
