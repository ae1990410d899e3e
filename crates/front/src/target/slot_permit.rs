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

use super::AttemptOutcome;
use super::TargetPool;
use crate::request::Cause;
use crate::request::RequestError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that may carry one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

/// One of the connections that the front may open to a target; released when dropped.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    pub(super) pool: Arc<TargetPool>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.pool.release_connection();
    }
}

/// The right to one request at a target; the slot is released when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    pub(super) pool: Arc<TargetPool>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.pool.release_slot();
    }
}

/// Records results of attempts, even after the slot was released.
#[derive(Clone, Debug)]
pub struct HealthReporter {
    pool: Arc<TargetPool>,
}

impl HealthReporter {
    /// Records the result of an attempt in the target's health.
    pub fn report(&self, outcome: AttemptOutcome) {
        self.pool.report(outcome);
    }
}

impl SlotPermit {
    /// Returns the target's entry in the host list.
    pub fn entry(&self) -> &TargetEntry {
        self.pool.entry()
    }

    /// Records the result of the attempt in the target's health.
    pub fn report(&self, outcome: AttemptOutcome) {
        self.pool.report(outcome);
    }

    /// Returns a handle that reports results after the slot was released.
    pub fn health_reporter(&self) -> HealthReporter {
        HealthReporter {
            pool: Arc::clone(&self.pool),
        }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    ///
    /// # Errors
    /// The target could not be reached in time, or the front's connections to it are used up.
    /// Nothing was sent.
    pub async fn connect(&self, deadline: Instant) -> Result<Connection, RequestError> {
        if let Some(connection) = self.pool.take_idle_connection() {
            return Ok(connection);
        }
        let failed = |detail: String| RequestError::not_run(Cause::ConnectFailed, detail);
        let address = self.pool.entry().address;
        let Some(permit) = self.pool.try_acquire_connection() else {
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
            let _permit = permit;
            // The sender reports a broken connection, so the driver's error adds nothing.
            let _ = driver.await;
        });
        Ok(sender)
    }

    /// Returns a connection to the pool for later requests.
    pub fn return_connection(&self, connection: Connection) {
        self.pool.return_connection(connection);
    }
}
