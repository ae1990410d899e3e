//! Idempotency keys: a key's home front runs the request at most once and repeats its answer.

mod key_claim;
mod key_home;
mod key_table;

pub use key_claim::CLAIM_KEY_CALL;
pub use key_claim::KeyClaim;
pub(crate) use key_claim::KeyClaimHandler;
pub use key_claim::KeyClaimReply;
pub use key_home::key_home;
pub use key_table::BeginOutcome;
pub use key_table::IdempotencyKey;
pub use key_table::InFlightKey;
pub use key_table::KeyTable;
