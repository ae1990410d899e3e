use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use h2::client::SendRequest;
use hyper::Request;
use hyper::StatusCode;
use tokio::net::TcpStream;

use super::body;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const FRAME_MAX_BYTES: usize = 64 << 20;
const WINDOW_BYTES: u32 = 1 << 20;

/// Calls other daemons over one h2 connection to each.
#[derive(Default)]
pub struct PeerClient {
    connections: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Calls a daemon's handler by name and returns the frame that it answers.
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
        let sender = self.sender(address).await?;
        match tokio::time::timeout(timeout, exchange(sender, name, frame)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(error),
            Err(_) => {
                let limit_ms = timeout.as_millis();
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
        self.lock().insert(address, fresh.clone());
        fresh
            .ready()
            .await
            .map_err(|error| CallError::not_run(error.to_string()))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, SendRequest<Bytes>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

async fn exchange(
    mut sender: SendRequest<Bytes>,
    name: &str,
    frame: Bytes,
) -> Result<Bytes, CallError> {
    let request = Request::post(format!("http://peer/{name}"))
        .body(())
        .map_err(|error| CallError::not_run(error.to_string()))?;
    let (answer, mut stream) = sender
        .send_request(request, false)
        .map_err(|error| CallError::not_run(error.to_string()))?;
    body::send(&mut stream, frame)
        .await
        .map_err(|error| failed(&error))?;
    let answer = answer.await.map_err(|error| failed(&error))?;
    let status = answer.status();
    let body = body::receive(&mut answer.into_body(), FRAME_MAX_BYTES)
        .await
        .map_err(CallError::may_have_run)?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::SERVICE_UNAVAILABLE => Err(CallError::not_run(text(&body))),
        _ => Err(CallError::may_have_run(text(&body))),
    }
}

/// A stream that the peer refused was not handled; any other failure leaves it open.
fn failed(error: &h2::Error) -> CallError {
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => CallError::not_run("the peer refused the stream"),
        _ => CallError::may_have_run(error.to_string()),
    }
}

fn text(body: &[u8]) -> Box<str> {
    String::from_utf8_lossy(body).into()
}
