use std::sync::Arc;

use bytes::Bytes;

use super::ConnectionMemory;
use super::MemoryAccount;

/// Bytes that are reserved in an account, and released on drop.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<MemoryAccount>,
    bytes: usize,
    /// The connection whose client the bytes are received from.
    connection: Option<Arc<ConnectionMemory>>,
}

/// The owner of bytes that are released together with their reservation.
struct ReservedBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Reservation {
    pub(super) fn new(
        account: Arc<MemoryAccount>,
        bytes: usize,
        connection: Option<Arc<ConnectionMemory>>,
    ) -> Self {
        Self {
            account,
            bytes,
            connection,
        }
    }

    /// Returns the reserved size.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the size of another reservation of the same request.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.release(excess);
    }

    /// Lets the reservation outlive the exchange on its connection.
    pub(crate) fn detach(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.detach(self.bytes);
        }
    }

    /// Returns bytes that keep the reservation until their last clone is dropped.
    pub fn attach_to<T: AsRef<[u8]> + Send + 'static>(mut self, bytes: T) -> Bytes {
        self.detach();
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }

    fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
        if let Some(connection) = &self.connection {
            connection.detach(bytes);
        }
        self.account.release(bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
