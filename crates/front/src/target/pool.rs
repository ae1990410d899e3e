use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_platform::hosts::TargetEntry;
use dotterelhook_types::CallError;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// A connection that may carry one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

/// The connections to one target and this front's share of its slots.
#[derive(Debug)]
pub struct TargetPool {
    entry: TargetEntry,
    slots: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

/// The right to send one request to a target.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<TargetPool>,
    _slot: OwnedSemaphorePermit,
}

impl TargetPool {
    /// Creates a pool without connections.
    pub fn new(entry: TargetEntry) -> Self {
        let slots = Arc::new(Semaphore::new(entry.slots as usize));
        Self {
            entry,
            slots,
            idle: Mutex::default(),
        }
    }

    /// Returns the target as the platform lists it.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self) -> usize {
        self.slots.available_permits()
    }

    /// Takes a slot, unless all are taken.
    pub fn try_lease(self: &Arc<Self>) -> Option<Lease> {
        let slot = Arc::clone(&self.slots).try_acquire_owned().ok()?;
        Some(Lease {
            pool: Arc::clone(self),
            _slot: slot,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().rposition(SendRequest::is_ready)?;
        Some(idle.swap_remove(ready))
    }
}

impl Lease {
    /// Returns the target.
    pub fn entry(&self) -> &TargetEntry {
        &self.pool.entry
    }

    /// Returns an idle connection, or a new one.
    ///
    /// # Errors
    /// The target can't be reached in time; nothing was sent.
    pub async fn connect(&self, timeout: Duration) -> Result<Connection, CallError> {
        if let Some(connection) = self.pool.take_idle() {
            return Ok(connection);
        }
        let address = self.pool.entry.address;
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                return Err(CallError::not_run(format!(
                    "can't connect to {address}: {error}"
                )));
            }
            Err(_) => return Err(CallError::not_run(format!("{address} took no connection"))),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::not_run(error.to_string()))?;
        tokio::spawn(async move {
            // The sender sees a broken connection by itself.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Gives back a connection for later requests.
    pub fn keep(&self, connection: Connection) {
        if !connection.is_closed() {
            self.pool
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(connection);
        }
    }
}
