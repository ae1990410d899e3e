use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// The process-wide metrics registry, shared by all services.
#[derive(Debug, Default)]
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Calls `add` with the registry, so that a service can register its metrics.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(
            &mut text,
            &self.registry.lock().unwrap_or_else(PoisonError::into_inner),
        )?;
        Ok(text)
    }
}
