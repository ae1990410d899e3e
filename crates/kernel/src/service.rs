use async_trait::async_trait;

use crate::Kernel;

/// A part of the daemon that the settings can switch on.
#[async_trait]
pub trait Service: Send {
    /// Returns the service's name.
    fn name(&self) -> &'static str;

    /// Starts the service: provides its handles and spawns its tasks.
    ///
    /// # Errors
    /// An address can't be bound, or a handle that the service needs is missing.
    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()>;
}
