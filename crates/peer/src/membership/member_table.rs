use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Heartbeat;
use super::MemberId;

const SUSPECT_AFTER_MS: u64 = 3_000;
const DEAD_AFTER_MS: u64 = 6_000;
const FORGET_AFTER_MS: u64 = 600_000;

/// What is believed of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// It was heard lately.
    Alive,
    /// It was not heard for some time.
    Suspect,
    /// It was not heard for long.
    Dead,
    /// It is about to stop.
    Draining,
}

/// One member as it is known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time since the newest heartbeat.
    pub age_ms: u64,
    /// What is believed of it.
    pub state: MemberState,
}

/// The newest heartbeat of each member.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<MemberId, (Heartbeat, u64)>,
}

impl MemberTable {
    /// Takes in a heartbeat; one of an older incarnation changes nothing.
    pub fn hear(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        if let Some((known, _)) = self.entries.get(&heartbeat.member)
            && heartbeat.incarnation < known.incarnation
        {
            return;
        }
        self.entries
            .insert(heartbeat.member.clone(), (heartbeat, now_ms));
    }

    /// Drops members that were not heard for very long.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.entries
            .retain(|_, (_, heard_at_ms)| now_ms.saturating_sub(*heard_at_ms) < FORGET_AFTER_MS);
    }

    /// Returns all members in order of their ids.
    pub fn members(&self, now_ms: u64) -> Vec<Member> {
        let members = self.entries.values().map(|(heartbeat, heard_at_ms)| {
            let age_ms = now_ms.saturating_sub(*heard_at_ms);
            let state = match age_ms {
                DEAD_AFTER_MS.. => MemberState::Dead,
                _ if heartbeat.is_draining => MemberState::Draining,
                SUSPECT_AFTER_MS.. => MemberState::Suspect,
                _ => MemberState::Alive,
            };
            Member {
                heartbeat: heartbeat.clone(),
                age_ms,
                state,
            }
        });
        members.collect()
    }
}
