use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

/// What is done to an attempt; each step is harsher than the one before.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ActionKind {
    /// Let it run at full speed.
    Release,
    /// Slow it down.
    Throttle,
    /// Take it off the worker; it runs again elsewhere.
    Evict,
}

/// An action against one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its worker.
    pub worker: WorkerId,
    /// What is done to it.
    pub kind: ActionKind,
}
