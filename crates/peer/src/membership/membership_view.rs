use std::collections::BTreeMap;

use dotterelhook_types::ids::TargetId;

use super::DrainingTarget;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::Role;

/// Read access to the daemons known here; a hint, never a proof.
pub trait MembershipView: Send + Sync {
    /// Returns this daemon's own id.
    fn own_id(&self) -> MemberId;

    /// Returns all members, this daemon included.
    fn members(&self) -> Vec<Member>;

    /// Tells the others that a target is draining.
    fn report_draining(&self, target: &TargetId);

    /// Returns the members of a role that are alive in this daemon's failure domain; members
    /// that are dead or about to stop are left out, so that they get no new work.
    fn live_peers(&self, role: Role) -> Vec<Member> {
        let members = self.members();
        let own_id = self.own_id();
        let own = members
            .iter()
            .find(|member| member.heartbeat.member == own_id);
        let Some(own_domain) = own.map(|member| member.heartbeat.failure_domain.clone()) else {
            return Vec::new();
        };
        let is_live = |member: &Member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect)
                && member.heartbeat.member.role.covers(role)
                && member.heartbeat.failure_domain == own_domain
        };
        members.into_iter().filter(is_live).collect()
    }

    /// Returns the targets that this daemon or a live one of its failure domain saw
    /// draining, with the time since the newest sight, in order of their ids.
    fn draining_targets(&self) -> Vec<DrainingTarget> {
        let mut ages_ms: BTreeMap<TargetId, u64> = BTreeMap::new();
        for member in self.members() {
            if matches!(member.state, MemberState::Dead | MemberState::Unreachable) {
                continue;
            }
            for seen in member.heartbeat.draining_targets {
                let age_ms = seen.age_ms.saturating_add(member.age_ms);
                let newest = ages_ms.entry(seen.target).or_insert(age_ms);
                *newest = age_ms.min(*newest);
            }
        }
        let targets = ages_ms
            .into_iter()
            .map(|(target, age_ms)| DrainingTarget { target, age_ms });
        targets.collect()
    }
}
