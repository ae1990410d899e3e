use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use super::ConfigState;

/// How far an evacuation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EvacuationPhase {
    /// The request is in force; no scheduler of the failure domain has reported what runs there.
    Requested,
    /// Attempts still run in the failure domain.
    Emptying,
    /// No attempt runs in the failure domain.
    Empty,
    /// The evacuation has ended.
    Ended,
}

/// The number of open attempts in a failure domain, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempts {
    /// Attempts that can write a checkpoint.
    pub checkpointable: u32,
    /// Attempts whose progress would be lost.
    pub other: u32,
}

/// The state of one evacuation, as served by the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// The evacuated failure domain.
    pub failure_domain: FailureDomain,
    /// The offset of the record that requested the evacuation, or that ended it.
    pub offset: Offset,
    /// The time of the request by the operator's clock; absent once the evacuation has ended.
    pub requested_at_unix_ms: Option<u64>,
    /// How far the evacuation has come.
    pub phase: EvacuationPhase,
    /// What runs in the failure domain; absent if this process does not follow its shards.
    pub running: Option<RunningAttempts>,
}

impl EvacuationReport {
    /// Returns a report of each evacuation in force and of each retained end.
    pub fn all(config: &ConfigState) -> Vec<Self> {
        let in_force = config
            .evacuations()
            .map(|(failure_domain, offset, evacuation)| Self {
                failure_domain,
                offset,
                requested_at_unix_ms: Some(evacuation.requested_at_unix_ms),
                phase: EvacuationPhase::Requested,
                running: None,
            });
        let ended = config
            .ended_evacuations()
            .map(|(failure_domain, offset)| Self {
                failure_domain,
                offset,
                requested_at_unix_ms: None,
                phase: EvacuationPhase::Ended,
                running: None,
            });
        in_force.chain(ended).collect()
    }

    /// Adds what runs in the failure domain, and derives the phase from it.
    pub fn set_running(&mut self, running: RunningAttempts) {
        self.running = Some(running);
        if self.phase != EvacuationPhase::Ended {
            self.phase = match running {
                RunningAttempts {
                    checkpointable: 0,
                    other: 0,
                } => EvacuationPhase::Empty,
                _ => EvacuationPhase::Emptying,
            };
        }
    }
}
