use dotterelhook_types::ids::FailureDomain;

use super::Digest;
use super::DigestEntry;
use super::Member;
use super::MemberId;
use super::MemberState;

const FRESH_AGE_MAX_MS: u64 = 2_500;

/// Returns what is freshly known of the members asked for.
pub(super) fn answer_some(
    members: &[Member],
    domain: &FailureDomain,
    ids: &[MemberId],
) -> Vec<Digest> {
    let asked = members.iter().filter(|member| {
        member.heartbeat.failure_domain == *domain
            && member.age_ms < FRESH_AGE_MAX_MS
            && ids.contains(&member.heartbeat.member)
    });
    Digest::split(domain, &describe(asked))
}

/// Returns all that is known, dead members aside.
pub(super) fn answer_all(mut members: Vec<Member>) -> Vec<Digest> {
    members.retain(|member| member.state != MemberState::Dead);
    members.sort_by(|a, b| a.heartbeat.failure_domain.cmp(&b.heartbeat.failure_domain));
    let by_domain =
        members.chunk_by(|a, b| a.heartbeat.failure_domain == b.heartbeat.failure_domain);
    let digests = by_domain.flat_map(|group| {
        let domain = &group[0].heartbeat.failure_domain;
        Digest::split(domain, &describe(group.iter()))
    });
    digests.collect()
}

fn describe<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<DigestEntry> {
    let entries = members.map(|member| DigestEntry::new(&member.heartbeat, member.age_ms, true));
    entries.collect()
}
