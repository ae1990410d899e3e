use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::MemoryAccount;
use super::MemoryShortage;
use super::Reservation;
use super::connection_phase::ConnectionPhase;

/// The entry of an open connection in an account, removed on drop.
#[derive(Debug)]
pub struct ConnectionMemory {
    account: Arc<MemoryAccount>,
    id: u64,
    evicted: CancellationToken,
}

impl ConnectionMemory {
    pub(super) fn new(account: Arc<MemoryAccount>, id: u64, evicted: CancellationToken) -> Self {
        Self {
            account,
            id,
            evicted,
        }
    }

    /// Waits until the connection must close, because it keeps room from others without progress.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Returns whether a request or an answer is incomplete, and the client makes no progress with it.
    pub fn is_stalled(&self) -> bool {
        self.account.is_stalled(self.id, Instant::now())
    }

    /// Records bytes that the client has sent.
    pub fn record_received(&self, bytes: usize) {
        let now = Instant::now();
        self.account.record_progress(self.id, bytes, now);
        let began = |phase| phase == ConnectionPhase::Idle;
        self.account
            .change_phase(self.id, began, ConnectionPhase::Receiving, now);
    }

    /// Records bytes that the client has accepted.
    pub fn record_sent(&self, bytes: usize) {
        self.account.record_progress(self.id, bytes, Instant::now());
    }

    /// Records that nothing is left to send.
    pub fn record_flushed(&self) {
        let answered = |phase| phase == ConnectionPhase::Answering;
        self.account
            .change_phase(self.id, answered, ConnectionPhase::Idle, Instant::now());
    }

    /// Records that the rest of the request's body is awaited.
    pub fn begin_receiving(&self) {
        self.enter(ConnectionPhase::Receiving);
    }

    /// Records that the request is complete and a handler works on it.
    pub fn begin_running(&self) {
        self.enter(ConnectionPhase::Running);
    }

    /// Records that the answer is to be sent.
    pub fn begin_answering(&self) {
        self.enter(ConnectionPhase::Answering);
    }

    /// Reserves room for bytes that the client sends, beside `held_bytes` of the same request. Closes
    /// stalled connections if there is too little.
    ///
    /// # Errors
    /// Too few bytes are free, and too few are held by connections without progress.
    pub async fn reserve(
        self: &Arc<Self>,
        bytes: usize,
        held_bytes: usize,
    ) -> Result<Reservation, MemoryShortage> {
        self.account.reserve(bytes, held_bytes, Some(self)).await
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Stops counting bytes as held by this connection.
    pub(super) fn detach(&self, bytes: usize) {
        self.account.detach(self.id, bytes);
    }

    fn enter(&self, phase: ConnectionPhase) {
        let is_open = |phase| phase != ConnectionPhase::Evicted;
        self.account
            .change_phase(self.id, is_open, phase, Instant::now());
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.account.close(self.id);
    }
}
