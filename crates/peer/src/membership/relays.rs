use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;

use super::Member;
use super::MemberState;

/// Returns the members that exchange a failure domain's digests with other domains.
///
/// Each relay is the first alive member of one of the first `count` hosts. Relays on different
/// hosts keep the exchange going when one host fails.
pub fn choose_relays<'a>(
    members: &'a [Member],
    domain: &FailureDomain,
    count: usize,
) -> Vec<&'a Member> {
    let mut first_by_host = BTreeMap::new();
    let alive = members.iter().filter(|member| {
        member.state == MemberState::Alive && member.heartbeat.failure_domain == *domain
    });
    for member in alive {
        first_by_host
            .entry(&member.heartbeat.member.host)
            .or_insert(member);
    }
    first_by_host.into_values().take(count).collect()
}
