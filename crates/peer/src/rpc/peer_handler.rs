use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_types::CallError;

/// Handles the calls of one name.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles one call; request and answer are encoded frames.
    ///
    /// # Errors
    /// The call failed; the verdict says whether it may have taken effect.
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError>;
}

/// The registry of one daemon's handlers; services add theirs when they start.
#[derive(Default)]
pub struct PeerHandlers {
    handlers: RwLock<HashMap<&'static str, Arc<dyn PeerHandler>>>,
}

impl PeerHandlers {
    /// Registers a handler; replaces an earlier one of the same name.
    pub fn add(&self, name: &'static str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(name, handler);
    }

    /// Returns the handler registered under `name`, if any.
    pub fn find(&self, name: &str) -> Option<Arc<dyn PeerHandler>> {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        handlers.get(name).cloned()
    }
}
