use std::sync::Arc;

use tokio::sync::watch;

use super::DeploymentConfig;

/// The configuration in force in this process.
#[derive(Debug)]
pub struct ActiveConfig {
    current: watch::Sender<Option<Arc<DeploymentConfig>>>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
        }
    }
}

impl ActiveConfig {
    /// Puts a version in force unless a later one is; returns whether it did.
    pub fn activate_if_newer(&self, config: DeploymentConfig) -> bool {
        self.current.send_if_modified(|current| {
            let is_newer = current
                .as_ref()
                .is_none_or(|current| current.version() < config.version());
            if is_newer {
                *current = Some(Arc::new(config));
            }
            is_newer
        })
    }

    /// Returns the configuration in force, if one has been read.
    pub fn current(&self) -> Option<Arc<DeploymentConfig>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that sees each change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<DeploymentConfig>>> {
        self.current.subscribe()
    }
}
