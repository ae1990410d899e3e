use std::sync::Arc;

use dotterelhook_state::config::ConfigState;

/// Read access to the configuration in force.
pub trait ConfigView: Send + Sync {
    /// Returns the configuration in force; possibly empty or incomplete until `is_loaded`.
    fn current(&self) -> Arc<ConfigState>;

    /// Returns whether a usable configuration was loaded since the start.
    fn is_loaded(&self) -> bool;

    /// Returns the time since the log last answered, in milliseconds; `None` if it never did.
    fn log_contact_age_ms(&self) -> Option<u64>;

    /// Returns how long ago the last read was sent that reached the end of the log, in milliseconds;
    /// `None` if there was none.
    ///
    /// Every record that the log had accepted by then is part of the current configuration.
    fn complete_read_age_ms(&self) -> Option<u64>;

    /// Returns why no configuration is loaded, as one short sentence; `None` if one is.
    fn unready_reason(&self) -> Option<Box<str>> {
        (!self.is_loaded()).then(|| "no configuration was read yet".into())
    }
}
