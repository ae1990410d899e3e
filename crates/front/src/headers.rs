//! Names of the HTTP headers that the front reads and writes.

use dotterelhook_types::Verdict;

/// Whether the request ran: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = Verdict::HEADER;

/// The cause of a refusal or failure, as a [`Cause`](crate::request::Cause) label.
pub const CAUSE: &str = "x-dotterelhook-cause";

/// Set by a target that refuses a request because it is draining.
pub const DRAINING: &str = "x-dotterelhook-draining";

/// Identifies one request; a target that echoes it must echo the same value.
pub const REQUEST_ID: &str = "x-request-id";

/// The caller's key for a request that it may repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix reserved for the front; headers with it are removed from requests and answers.
pub const RESERVED_PREFIX: &str = "x-dotterelhook-";
