use serde::Deserialize;

use super::FarFactor;

/// The policy by which work waits for a preferred placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaitPolicy {
    /// Work takes the preferred placement if it is free, and any other one otherwise.
    Never,
    /// Work waits until the slack to its objective is used up.
    Always,
    /// Work waits as long as the expected gain exceeds the expected cost.
    #[default]
    Decided,
}

/// The settings of the wait for a preferred placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementWait {
    /// How many times as long work runs away from its preferred placement.
    pub far_factor: FarFactor,
    /// The policy by which work waits.
    pub policy: WaitPolicy,
}
