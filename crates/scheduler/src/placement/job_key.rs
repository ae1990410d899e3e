use std::fmt;

use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Key of a batch job within its team; displayed as `team/job`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The team that owns the job.
    pub team: TeamName,
    /// The name of the job, unique within the team.
    pub job: JobName,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.job)
    }
}
