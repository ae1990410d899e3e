use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// The most that a team's batch tasks may take at once in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The sum over the team's open attempts.
    pub batch: Resources,
}
