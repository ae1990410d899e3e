use std::sync::Arc;

use dotterelhook_borders::hosts::HostSnapshot;

/// Read access to the platform's host list.
pub trait HostView: Send + Sync {
    /// Returns the list as last read; empty before the first read.
    fn current(&self) -> Arc<HostSnapshot>;
}
