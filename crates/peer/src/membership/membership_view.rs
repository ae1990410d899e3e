use dotterelhook_types::ids::TargetId;

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

    /// Returns the members of a role that are alive in this daemon's failure domain.
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
                && member.heartbeat.member.role == role
                && member.heartbeat.failure_domain == own_domain
        };
        members.into_iter().filter(is_live).collect()
    }
}
