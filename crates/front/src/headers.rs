//! Names of the headers that the front reads and writes.

/// Says whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "x-dotterelhook-verdict";

/// Says why a request was refused or failed.
pub const CAUSE: &str = "x-dotterelhook-cause";

/// Marks a target's refusal as that of a target about to leave.
pub const DRAINING: &str = "x-dotterelhook-draining";
