use std::collections::BTreeSet;
use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;
use rapidhash::v3::rapidhash_v3;

use super::Digest;
use super::DigestEntry;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::MembershipSettings;
use super::choose_relays;

const SEED_JOIN_EVERY_HEARTBEATS: u64 = 5;
const DEAD_RETRY_EVERY_HEARTBEATS: u64 = 5;
const STARTUP_HEARTBEATS: u64 = 5;
const RESYNC_EVERY_HEARTBEATS: u64 = 60;
/// Digests describe a new member for this many digest intervals.
const DESCRIBED_DIGESTS: u64 = 3;
const DIGEST_INTERVAL_MIN_MS: u64 = 900;

/// Decides which frames a daemon sends to which receivers at each heartbeat.
#[derive(Debug)]
pub(super) struct GossipSchedule {
    own_id: MemberId,
    own_domain: FailureDomain,
    /// Offsets periodic resyncs, so that members do not resync at the same heartbeat.
    own_hash: u64,
    seeds: Vec<SocketAddr>,
    relay_count: usize,
    digest_interval_ms: u64,
    sequence: u64,
    digest_rounds: u64,
    digest_sent_at_ms: Option<u64>,
    last_sent_offsets: Vec<Offset>,
}

impl GossipSchedule {
    /// Creates the schedule of a daemon that has sent no frame.
    pub(super) fn new(settings: &MembershipSettings) -> Self {
        let name = settings.member.to_string();
        Self {
            own_hash: u64::from(rapidhash_v3(name.as_bytes()) as u32),
            own_id: settings.member.clone(),
            own_domain: settings.failure_domain.clone(),
            seeds: settings.seed_addresses.clone(),
            relay_count: settings.relay_count,
            digest_interval_ms: settings.digest_interval.as_millis() as u64,
            sequence: 0,
            digest_rounds: 0,
            digest_sent_at_ms: None,
            last_sent_offsets: Vec::new(),
        }
    }

    /// Advances to the next heartbeat and returns its sequence number, from 1.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns for how long each digest describes a new member, in milliseconds.
    pub(super) fn description_period_ms(&self) -> u64 {
        self.digest_interval_ms * DESCRIBED_DIGESTS
    }

    /// Returns the other members of the own domain.
    ///
    /// Dead members are included only at some heartbeats, in case they come back.
    pub(super) fn heartbeat_receivers(&self, members: &[Member]) -> Vec<SocketAddr> {
        let includes_dead = self.sequence.is_multiple_of(DEAD_RETRY_EVERY_HEARTBEATS);
        let receivers = self
            .other_members(members, true)
            .filter(|member| includes_dead || member.state != MemberState::Dead);
        receivers
            .map(|member| member.heartbeat.peer_address)
            .collect()
    }

    /// Returns the receivers of a join request, which answer with all members they know.
    ///
    /// During startup all seeds are asked at every heartbeat. Later, only unknown and unreachable
    /// seeds are asked, and less often. One reachable member at a time is asked in rotation at long
    /// intervals, which makes up for lost answers.
    pub(super) fn join_receivers(&self, members: &[Member]) -> Vec<SocketAddr> {
        let is_startup = self.sequence <= STARTUP_HEARTBEATS;
        let mut receivers = BTreeSet::new();
        if is_startup || self.sequence.is_multiple_of(SEED_JOIN_EVERY_HEARTBEATS) {
            receivers.extend(self.seeds.iter().copied().filter(|seed| {
                let known = members
                    .iter()
                    .find(|member| member.heartbeat.peer_address == *seed);
                is_startup || known.is_none_or(|member| !is_reachable(member))
            }));
        }
        if (self.sequence + self.own_hash).is_multiple_of(RESYNC_EVERY_HEARTBEATS) {
            let reachable: Vec<_> = members
                .iter()
                .filter(|member| is_reachable(member))
                .collect();
            let rotation = (self.sequence / RESYNC_EVERY_HEARTBEATS + self.own_hash) as usize;
            receivers.extend(
                reachable
                    .get(rotation % reachable.len().max(1))
                    .map(|member| member.heartbeat.peer_address),
            );
        }
        let own = members
            .iter()
            .find(|member| member.heartbeat.member == self.own_id);
        if let Some(own) = own {
            receivers.remove(&own.heartbeat.peer_address);
        }
        receivers.into_iter().collect()
    }

    /// Starts a digest round if this daemon is a relay and a digest is due.
    ///
    /// Returns the receivers of the round, which are empty if none starts.
    pub(super) fn start_digest_round(
        &mut self,
        members: &[Member],
        clock_ms: u64,
    ) -> Vec<SocketAddr> {
        let relays = choose_relays(members, &self.own_domain, self.relay_count);
        let is_relay = relays
            .iter()
            .any(|relay| relay.heartbeat.member == self.own_id);
        if !is_relay || !self.is_digest_due(members, clock_ms) {
            return Vec::new();
        }
        self.digest_rounds += 1;
        self.digest_sent_at_ms = Some(clock_ms);
        self.last_sent_offsets = self.own_domain_offsets(members);
        let domains: BTreeSet<&FailureDomain> = self
            .other_members(members, false)
            .map(|member| &member.heartbeat.failure_domain)
            .collect();
        let receivers = domains
            .into_iter()
            .flat_map(|domain| self.domain_receivers(members, domain));
        receivers.collect()
    }

    /// Returns the digests of the own domain without dead members; describes `recent` members.
    pub(super) fn own_domain_digests(
        &self,
        members: &[Member],
        recent: &[MemberId],
    ) -> Vec<Digest> {
        let own = members.iter().filter(|member| {
            member.heartbeat.failure_domain == self.own_domain && member.state != MemberState::Dead
        });
        let entries: Vec<DigestEntry> = own
            .map(|member| {
                let includes_description = recent.contains(&member.heartbeat.member);
                DigestEntry::new(&member.heartbeat, member.age_ms, includes_description)
            })
            .collect();
        Digest::split(&self.own_domain, &entries)
    }

    /// Returns whether the digest interval has passed.
    ///
    /// A changed configuration offset makes a digest due earlier, after `DIGEST_INTERVAL_MIN_MS`.
    fn is_digest_due(&self, members: &[Member], clock_ms: u64) -> bool {
        let Some(sent_at_ms) = self.digest_sent_at_ms else {
            return true;
        };
        let age_ms = clock_ms.saturating_sub(sent_at_ms);
        let has_changed = self.own_domain_offsets(members) != self.last_sent_offsets;
        age_ms >= self.digest_interval_ms || (has_changed && age_ms >= DIGEST_INTERVAL_MIN_MS)
    }

    fn own_domain_offsets(&self, members: &[Member]) -> Vec<Offset> {
        let own = members
            .iter()
            .filter(|member| member.heartbeat.failure_domain == self.own_domain);
        own.map(|member| member.heartbeat.config_offset).collect()
    }

    /// Returns another domain's relays, and one member in rotation in case the relays are gone.
    fn domain_receivers(&self, members: &[Member], domain: &FailureDomain) -> BTreeSet<SocketAddr> {
        let relays = choose_relays(members, domain, self.relay_count);
        let all: Vec<_> = members
            .iter()
            .filter(|member| member.heartbeat.failure_domain == *domain)
            .collect();
        let rotating = all[self.digest_rounds as usize % all.len()];
        let receivers = relays.into_iter().chain([rotating]);
        receivers
            .map(|member| member.heartbeat.peer_address)
            .collect()
    }

    fn other_members<'a>(
        &'a self,
        members: &'a [Member],
        is_own_domain: bool,
    ) -> impl Iterator<Item = &'a Member> {
        members.iter().filter(move |member| {
            let is_own = member.heartbeat.failure_domain == self.own_domain;
            is_own == is_own_domain && member.heartbeat.member != self.own_id
        })
    }
}

fn is_reachable(member: &Member) -> bool {
    !matches!(member.state, MemberState::Dead | MemberState::Unreachable)
}
