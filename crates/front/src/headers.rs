//! Names of the headers that the front reads and writes.

use dotterelhook_types::Verdict;

/// Says whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = Verdict::HEADER;

/// Says why a request was refused or failed.
pub const CAUSE: &str = "x-dotterelhook-cause";

/// Marks a target's refusal as that of a target about to leave.
pub const DRAINING: &str = "x-dotterelhook-draining";

/// Names one request; a target that sends it back must send back the same value.
pub const REQUEST_ID: &str = "x-request-id";

/// A caller's name for a request that it may repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers with this prefix are the front's own; nobody else's are passed on.
pub const OWN_PREFIX: &str = "x-dotterelhook-";
