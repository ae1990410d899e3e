use async_trait::async_trait;

use crate::Kernel;

/// A component of the daemon that the settings can enable.
#[async_trait]
pub trait Service: Send {
    /// Returns the name that log lines and start errors show.
    fn name(&self) -> &'static str;

    /// Starts the service: registers its handles and spawns its tasks.
    ///
    /// # Errors
    /// An address can't be bound, or a required handle is not registered.
    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()>;
}
