use std::sync::Arc;

use dotterelhook_borders::hosts::HostSnapshot;

/// Read access to the newest accepted host list.
pub trait HostView: Send + Sync {
    /// Returns the newest accepted list; empty before the first successful read.
    fn current(&self) -> Arc<HostSnapshot>;
}
