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

/// Calls other daemons over one h2 connection to each.
pub struct PeerClient {
    limits: PeerLimits,
    budget: BodyBudget,
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl Default for PeerClient {
    fn default() -> Self {
        let limits = PeerLimits::default();
        Self {
            limits,
            budget: BodyBudget::new(limits.bodies_max_bytes),
            connections: Mutex::default(),
        }
    }
}

impl PeerClient {
    /// Calls a daemon's handler by name and returns the frame that it answers; the handler
    /// is told how long the caller waits.
    ///
    /// # Errors
    /// The verdict says whether the handler may have run.
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
        let sender = timeout_at(deadline, self.sender(address))
            .await
            .map_err(|_| {
                CallError::not_run(format!("{address} took no call within {limit_ms} ms"))
            })??;
        match timeout_at(deadline, self.exchange(sender, name, frame, deadline)).await {
            Ok(result) => result,
            Err(_) => {
                // The peer may be frozen; the next call gets a new connection.
                self.lock().remove(&address);
                Err(CallError::may_have_run(format!(
                    "{address} did not answer in {limit_ms} ms"
                )))
            }
        }
    }

    async fn sender(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CallError> {
        let known = self.lock().get(&address).cloned();
        if let Some(known) = known
            && let Ok(ready) = known.ready().await
        {
            return Ok(ready);
        }
        let fresh = match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(fresh) => fresh?,
            Err(_) => return Err(CallError::not_run(format!("{address} took no connection"))),
        };
        self.keep(address, fresh.clone());
        fresh
            .ready()
            .await
            .map_err(|error| CallError::not_run(error.to_string()))
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Bytes>) {
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
        let left = deadline.saturating_duration_since(Instant::now());
        deadline::write(request.headers_mut(), left);
        let (answer, mut stream) = sender
            .send_request(request, false)
            .map_err(|error| CallError::not_run(error.to_string()))?;
        // A peer that refuses a body answers before it has taken all of it.
        let _ = body::send(&mut stream, frame).await;
        let answer = answer.await.map_err(|error| failed(&error))?;
        let status = answer.status();
        let max_bytes = self.limits.body_max_bytes;
        let received = body::receive(&mut answer.into_body(), max_bytes, &self.budget).await;
        match (status, received) {
            (StatusCode::OK, Ok(received)) => Ok(received.body),
            (StatusCode::OK, Err(cause)) => Err(CallError::may_have_run(cause)),
            (StatusCode::SERVICE_UNAVAILABLE, Ok(received)) => {
                Err(CallError::not_run(text(&received.body)))
            }
            (StatusCode::SERVICE_UNAVAILABLE, Err(_)) => {
                Err(CallError::not_run("the peer refused the call"))
            }
            (_, Ok(received)) => Err(CallError::may_have_run(text(&received.body))),
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
        // Senders see a broken connection by themselves.
        let _ = connection.await;
    });
    Ok(sender)
}

/// A stream that the peer refused, or that a planned stop came before, was not handled; any
/// other failure leaves it open.
fn failed(error: &h2::Error) -> CallError {
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => CallError::not_run("the peer refused the stream"),
        Some(h2::Reason::NO_ERROR) if error.is_go_away() && error.is_remote() => {
            CallError::not_run("the peer is about to stop")
        }
        _ => CallError::may_have_run(error.to_string()),
    }
}

fn text(body: &[u8]) -> Box<str> {
    String::from_utf8_lossy(body).into()
}
