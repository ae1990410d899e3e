use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// The metrics of all services of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Lets a service register its metrics.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// A metric can't be written as text.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(
            &mut text,
            &self.registry.lock().unwrap_or_else(PoisonError::into_inner),
        )?;
        Ok(text)
    }
}
