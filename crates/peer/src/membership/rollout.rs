use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;

use super::Member;
use super::MemberId;
use super::MemberState;

/// The progress of a configuration change among the members that may be alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Reachable members that have not applied the change.
    pub lagging: Vec<MemberId>,
    /// Unreachable failure domains, with the time since their last heartbeat in milliseconds.
    pub unreachable_ms: BTreeMap<FailureDomain, u64>,
}

impl Rollout {
    /// Collects the members that have not applied all records below `end`; ignores dead ones.
    pub fn from_members(members: &[Member], end: Offset) -> Self {
        let lagging = members.iter().filter(|member| {
            let is_reachable =
                !matches!(member.state, MemberState::Dead | MemberState::Unreachable);
            is_reachable && member.heartbeat.config_offset < end
        });
        Self {
            lagging: lagging
                .map(|member| member.heartbeat.member.clone())
                .collect(),
            unreachable_ms: unreachable_ms(members),
        }
    }

    /// Returns whether every member that may be alive has applied the change.
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
