use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

/// What a controller does to an attempt; variants are ordered by severity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ActionKind {
    /// Runs the attempt at full speed.
    Release,
    /// Limits the attempt's processor time.
    Throttle,
    /// Stops the attempt on its worker; the task runs again on another worker.
    Evict,
}

/// A control action on one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The affected attempt.
    pub attempt: AttemptId,
    /// The worker that runs the attempt.
    pub worker: WorkerId,
    /// What to do to the attempt.
    pub kind: ActionKind,
}
