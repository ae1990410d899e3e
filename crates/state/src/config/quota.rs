use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Limit on the resources that a team's batch tasks may hold at the same time in one failure
/// domain.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Limit on the sum over the team's open attempts.
    pub batch: Resources,
}
