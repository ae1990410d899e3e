use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_types::CallError;

/// Answers the calls of one name.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Answers one call; request and answer are frames of the codec.
    ///
    /// # Errors
    /// The verdict says whether the call may have run here.
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError>;
}

/// The handlers of one daemon by name; services add theirs when they start.
#[derive(Default)]
pub struct PeerHandlers {
    handlers: RwLock<HashMap<&'static str, Arc<dyn PeerHandler>>>,
}

impl PeerHandlers {
    /// Adds the handler of a name.
    pub fn add(&self, name: &'static str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self
            .handlers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        handlers.insert(name, handler);
    }

    /// Returns the handler of a name.
    pub fn find(&self, name: &str) -> Option<Arc<dyn PeerHandler>> {
        let handlers = self.handlers.read().unwrap_or_else(PoisonError::into_inner);
        handlers.get(name).cloned()
    }
}
