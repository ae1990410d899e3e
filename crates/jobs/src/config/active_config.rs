use std::sync::Arc;

use tokio::sync::watch;

use super::DeploymentConfig;

/// The configuration that is active in this process; empty until the first one has been read.
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
    /// Activates a configuration if its version is later than the active one. Returns whether the
    /// configuration was activated.
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

    /// Returns the active configuration, or `None` if none has been read yet.
    pub fn current(&self) -> Option<Arc<DeploymentConfig>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<DeploymentConfig>>> {
        self.current.subscribe()
    }
}
