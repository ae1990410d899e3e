use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::MemoryAccount;

/// The room of accepted work in an account, which grows and shrinks with the work. Released on drop.
#[derive(Debug)]
pub struct LastingMemory {
    account: Arc<MemoryAccount>,
    bytes: AtomicUsize,
}

impl LastingMemory {
    /// Creates an entry without bytes.
    pub fn new(account: Arc<MemoryAccount>) -> Self {
        Self {
            account,
            bytes: AtomicUsize::new(0),
        }
    }

    /// Sets the size of the work. Accepted work is never refused, so that the account may be overdrawn.
    pub fn set(&self, bytes: usize) {
        let former_bytes = self.bytes.swap(bytes, Ordering::Relaxed);
        self.account.change_lasting(former_bytes, bytes);
    }
}

impl Drop for LastingMemory {
    fn drop(&mut self) {
        self.set(0);
    }
}
