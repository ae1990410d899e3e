use std::collections::BTreeMap;

use dotterelhook_types::ids::TargetId;

use super::DrainingTarget;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::Role;

/// Read access to the known daemons.
///
/// Membership is eventually consistent: its states are estimates and prove nothing.
pub trait MembershipView: Send + Sync {
    /// Returns the id of this daemon.
    fn own_id(&self) -> MemberId;

    /// Returns all known members, including this daemon and dead ones.
    fn members(&self) -> Vec<Member>;

    /// Announces to the failure domain that a target is draining.
    fn report_draining(&self, target: &TargetId);

    /// Returns the members of this daemon's failure domain that cover a role and can take work.
    ///
    /// Suspect members and this daemon are included. Dead and draining members are left out, so
    /// that they get no new work.
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

    /// Returns the targets observed draining by this daemon or by others of its failure domain.
    ///
    /// Each comes with the age of its newest observation, in order of their ids.
    fn draining_targets(&self) -> Vec<DrainingTarget> {
        let mut ages_ms: BTreeMap<TargetId, u64> = BTreeMap::new();
        for member in self.members() {
            if matches!(member.state, MemberState::Dead | MemberState::Unreachable) {
                continue;
            }
            for reported in member.heartbeat.draining_targets {
                let age_ms = reported.age_ms.saturating_add(member.age_ms);
                let newest = ages_ms.entry(reported.target).or_insert(age_ms);
                *newest = age_ms.min(*newest);
            }
        }
        let targets = ages_ms
            .into_iter()
            .map(|(target, age_ms)| DrainingTarget { target, age_ms });
        targets.collect()
    }
}
