use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_borders::hosts::TargetEntry;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Outcome;
use super::TargetPool;
use crate::request::Cause;
use crate::request::RequestError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that may carry one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

/// One of the connections that the front may have to a target.
#[derive(Debug)]
pub(super) struct ConnectionPlace {
    pub(super) pool: Arc<TargetPool>,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.pool.free_connection();
    }
}

/// The right to have one request at a target; it ends when dropped.
#[derive(Debug)]
pub struct Lease {
    pub(super) pool: Arc<TargetPool>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.free_slot();
    }
}

/// Says how tries at a target end, also after the slot was given back.
#[derive(Clone, Debug)]
pub struct HealthReport {
    pool: Arc<TargetPool>,
}

impl HealthReport {
    /// Takes in how a try ended.
    pub fn report(&self, outcome: Outcome) {
        self.pool.report(outcome);
    }
}

impl Lease {
    /// Returns the target.
    pub fn entry(&self) -> &TargetEntry {
        self.pool.entry()
    }

    /// Takes in how the try ended.
    pub fn report(&self, outcome: Outcome) {
        self.pool.report(outcome);
    }

    /// Returns a handle to report with after the lease has ended.
    pub fn health(&self) -> HealthReport {
        HealthReport {
            pool: Arc::clone(&self.pool),
        }
    }

    /// Returns an idle connection, or a new one.
    ///
    /// # Errors
    /// The target can't be reached in time; nothing was sent.
    pub async fn connect(&self, deadline: Instant) -> Result<Connection, RequestError> {
        if let Some(connection) = self.pool.take_idle() {
            return Ok(connection);
        }
        let failed = |detail: String| RequestError::not_run(Cause::ConnectFailed, detail);
        let address = self.pool.entry().address;
        let Some(place) = self.pool.try_connection() else {
            let detail = format!("the front has all its connections to {address}");
            return Err(RequestError::not_run(Cause::TargetFull, detail));
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(format!("can't connect to {address}: {error}"))),
            Err(_) => return Err(failed(format!("{address} took no connection in time"))),
        };
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        tokio::spawn(async move {
            let _place = place;
            // The sender sees a broken connection by itself.
            let _ = driver.await;
        });
        Ok(sender)
    }

    /// Gives back a connection for later requests.
    pub fn keep(&self, connection: Connection) {
        self.pool.keep(connection);
    }
}
