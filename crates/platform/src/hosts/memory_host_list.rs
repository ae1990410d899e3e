use std::sync::Mutex;
use std::sync::PoisonError;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use super::HostList;
use super::HostSnapshot;

/// A host list in memory, for tests.
#[derive(Debug, Default)]
pub struct MemoryHostList {
    snapshot: Mutex<HostSnapshot>,
}

impl MemoryHostList {
    /// Replaces the list.
    pub fn set(&self, snapshot: HostSnapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }
}

#[async_trait]
impl HostList for MemoryHostList {
    async fn read(&self) -> Result<HostSnapshot, CallError> {
        Ok(self
            .snapshot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone())
    }
}
