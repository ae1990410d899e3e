use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Asks how many tasks of a team could start now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoomRequest {
    /// The team, whose quota counts.
    pub team: TeamName,
    /// The size of one task.
    pub size: Resources,
}
