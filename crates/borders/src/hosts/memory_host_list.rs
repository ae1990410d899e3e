use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use super::HostList;
use super::HostSnapshot;

#[derive(Debug, Default)]
struct Content {
    snapshot: HostSnapshot,
    is_down: bool,
}

/// An in-memory host list for tests.
#[derive(Debug, Default)]
pub struct MemoryHostList {
    content: Mutex<Content>,
}

impl MemoryHostList {
    /// Replaces the list.
    pub fn set(&self, snapshot: HostSnapshot) {
        self.content().snapshot = snapshot;
    }

    /// Sets whether reads fail.
    pub fn set_down(&self, is_down: bool) {
        self.content().is_down = is_down;
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl HostList for MemoryHostList {
    async fn read(&self) -> Result<HostSnapshot, CallError> {
        let content = self.content();
        if content.is_down {
            return Err(CallError::not_run("the host list is down"));
        }
        Ok(content.snapshot.clone())
    }
}
