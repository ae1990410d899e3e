use dotterelhook_types::ids::FailureDomain;

use super::Digest;
use super::DigestEntry;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::digest::process_key;

const FRESH_AGE_MAX_MS: u64 = 2_500;

/// Answers `Ask`: the requested members of the domain whose newest heartbeat is fresh.
pub(super) fn answer_ask(
    members: &[Member],
    domain: &FailureDomain,
    ids: &[MemberId],
) -> Vec<Digest> {
    let fresh = members.iter().filter(|member| {
        member.heartbeat.failure_domain == *domain
            && member.age_ms < FRESH_AGE_MAX_MS
            && ids.contains(&member.heartbeat.member)
    });
    Digest::split(domain, &digest_entries(fresh))
}

/// Answers `Describe`: the members whose process keys were requested, with descriptions.
pub(super) fn answer_describe(mut members: Vec<Member>, keys: &[u32]) -> Vec<Digest> {
    members.retain(|member| {
        let heartbeat = &member.heartbeat;
        keys.contains(&process_key(&heartbeat.member, heartbeat.incarnation))
    });
    split_by_domain(members)
}

/// Answers `Join`: all known members except dead ones.
pub(super) fn answer_join(mut members: Vec<Member>) -> Vec<Digest> {
    members.retain(|member| member.state != MemberState::Dead);
    split_by_domain(members)
}

fn split_by_domain(mut members: Vec<Member>) -> Vec<Digest> {
    members.sort_by(|a, b| a.heartbeat.failure_domain.cmp(&b.heartbeat.failure_domain));
    let groups = members.chunk_by(|a, b| a.heartbeat.failure_domain == b.heartbeat.failure_domain);
    let digests = groups.flat_map(|group| {
        let domain = &group[0].heartbeat.failure_domain;
        Digest::split(domain, &digest_entries(group.iter()))
    });
    digests.collect()
}

fn digest_entries<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<DigestEntry> {
    let entries = members.map(|member| DigestEntry::new(&member.heartbeat, member.age_ms, true));
    entries.collect()
}
