use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;

use super::Member;
use super::MemberState;

/// Returns the members that exchange a domain's digest: the first live one of each of the
/// first hosts, so that one host's end leaves another relay.
pub fn choose_relays<'a>(
    members: &'a [Member],
    domain: &FailureDomain,
    count: usize,
) -> Vec<&'a Member> {
    let mut first_by_host = BTreeMap::new();
    let live = members.iter().filter(|member| {
        member.state == MemberState::Alive && member.heartbeat.failure_domain == *domain
    });
    for member in live {
        first_by_host
            .entry(&member.heartbeat.member.host)
            .or_insert(member);
    }
    first_by_host.into_values().take(count).collect()
}
