use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;

use super::Member;
use super::MemberId;
use super::MemberState;

/// How far a change has come among the members that may be alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Members that are heard and don't have the change in force.
    pub lagging: Vec<MemberId>,
    /// Failure domains that can't be reached, with the time since they were last heard.
    pub unreachable_ms: BTreeMap<FailureDomain, u64>,
}

impl Rollout {
    /// Looks for members that have read less than `end`; dead ones don't count.
    pub fn from_members(members: &[Member], end: Offset) -> Self {
        let lagging = members.iter().filter(|member| {
            let is_heard = !matches!(member.state, MemberState::Dead | MemberState::Unreachable);
            is_heard && member.heartbeat.config_offset < end
        });
        Self {
            lagging: lagging
                .map(|member| member.heartbeat.member.clone())
                .collect(),
            unreachable_ms: unreachable_ms(members),
        }
    }

    /// Returns whether every member that may be alive has the change in force.
    pub fn is_complete(&self) -> bool {
        self.lagging.is_empty() && self.unreachable_ms.is_empty()
    }
}

fn unreachable_ms(members: &[Member]) -> BTreeMap<FailureDomain, u64> {
    let mut ages_ms = BTreeMap::new();
    let unreachable = members
        .iter()
        .filter(|member| member.state == MemberState::Unreachable);
    for member in unreachable {
        let domain = member.heartbeat.failure_domain.clone();
        let newest = ages_ms.entry(domain).or_insert(member.age_ms);
        *newest = member.age_ms.min(*newest);
    }
    ages_ms
}
