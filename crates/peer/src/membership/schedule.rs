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

const SEED_EVERY: u64 = 5;
const DEAD_EVERY: u64 = 5;
const JOIN_BEATS: u64 = 5;
const JOIN_EVERY: u64 = 60;
const DESCRIBE_EVERY: u64 = 8;
const DESCRIBE_DIGESTS: u64 = 3;
const DIGEST_PAUSE_MIN_MS: u64 = 900;

/// Says who is sent what at which heartbeat.
#[derive(Debug)]
pub(super) struct Schedule {
    own_id: MemberId,
    own_domain: FailureDomain,
    /// Spreads what each member does at long intervals.
    own_hash: u64,
    seeds: Vec<SocketAddr>,
    relay_count: usize,
    digest_interval_ms: u64,
    sequence: u64,
    digests: u64,
    digest_sent_at_ms: Option<u64>,
    offsets_sent: Vec<Offset>,
}

impl Schedule {
    /// Creates the schedule of a daemon that sent nothing yet.
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
            digests: 0,
            digest_sent_at_ms: None,
            offsets_sent: Vec::new(),
        }
    }

    /// Returns the number of the next heartbeat.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns for how long a new member is described in each digest.
    pub(super) fn describe_ms(&self) -> u64 {
        self.digest_interval_ms * DESCRIBE_DIGESTS
    }

    /// Returns the own domain's members; dead ones seldom, in case they come back.
    pub(super) fn heartbeat_receivers(&self, members: &[Member]) -> Vec<SocketAddr> {
        let tries_dead = self.sequence.is_multiple_of(DEAD_EVERY);
        let receivers = self
            .others(members, true)
            .filter(|member| tries_dead || member.state != MemberState::Dead);
        receivers
            .map(|member| member.heartbeat.peer_address)
            .collect()
    }

    /// Returns who is asked for all that it knows: seeds that are not known, often at the
    /// start and seldom later; and now and then one member, to make up for lost answers.
    pub(super) fn join_receivers(&self, members: &[Member]) -> Vec<SocketAddr> {
        let is_start = self.sequence <= JOIN_BEATS;
        let mut receivers = BTreeSet::new();
        if is_start || self.sequence.is_multiple_of(SEED_EVERY) {
            receivers.extend(self.seeds.iter().copied().filter(|seed| {
                let known = members
                    .iter()
                    .find(|member| member.heartbeat.peer_address == *seed);
                is_start || known.is_none_or(|member| !is_heard(member))
            }));
        }
        if (self.sequence + self.own_hash).is_multiple_of(JOIN_EVERY) {
            let live: Vec<_> = members.iter().filter(|member| is_heard(member)).collect();
            let turn = (self.sequence / JOIN_EVERY + self.own_hash) as usize;
            receivers.extend(
                live.get(turn % live.len().max(1))
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

    /// Returns who is sent the own domain's digest now; nobody if this daemon is no relay or
    /// no digest is due. A changed offset makes one due early.
    pub(super) fn digest_receivers(
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
        self.digests += 1;
        self.digest_sent_at_ms = Some(clock_ms);
        self.offsets_sent = self.own_offsets(members);
        let domains: BTreeSet<&FailureDomain> = self
            .others(members, false)
            .map(|member| &member.heartbeat.failure_domain)
            .collect();
        let receivers = domains
            .into_iter()
            .flat_map(|domain| self.receivers_in(members, domain));
        receivers.collect()
    }

    /// Returns the digest of the own domain, in frames.
    pub(super) fn own_digests(&self, members: &[Member], recent: &[MemberId]) -> Vec<Digest> {
        let own = members.iter().filter(|member| {
            member.heartbeat.failure_domain == self.own_domain && member.state != MemberState::Dead
        });
        let entries: Vec<DigestEntry> = (0..)
            .zip(own)
            .map(|(index, member)| {
                let has_turn = (index + self.digests).is_multiple_of(DESCRIBE_EVERY);
                let is_described = has_turn || recent.contains(&member.heartbeat.member);
                DigestEntry::new(&member.heartbeat, member.age_ms, is_described)
            })
            .collect();
        Digest::split(&self.own_domain, &entries)
    }

    fn is_digest_due(&self, members: &[Member], clock_ms: u64) -> bool {
        let Some(sent_at_ms) = self.digest_sent_at_ms else {
            return true;
        };
        let age_ms = clock_ms.saturating_sub(sent_at_ms);
        let has_changed = self.own_offsets(members) != self.offsets_sent;
        age_ms >= self.digest_interval_ms || (has_changed && age_ms >= DIGEST_PAUSE_MIN_MS)
    }

    fn own_offsets(&self, members: &[Member]) -> Vec<Offset> {
        let own = members
            .iter()
            .filter(|member| member.heartbeat.failure_domain == self.own_domain);
        own.map(|member| member.heartbeat.config_offset).collect()
    }

    /// Returns another domain's relays, and one further member in turn in case they are gone.
    fn receivers_in(&self, members: &[Member], domain: &FailureDomain) -> BTreeSet<SocketAddr> {
        let relays = choose_relays(members, domain, self.relay_count);
        let all: Vec<_> = members
            .iter()
            .filter(|member| member.heartbeat.failure_domain == *domain)
            .collect();
        let in_turn = all[self.digests as usize % all.len()];
        let receivers = relays.into_iter().chain([in_turn]);
        receivers
            .map(|member| member.heartbeat.peer_address)
            .collect()
    }

    fn others<'a>(
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

fn is_heard(member: &Member) -> bool {
    !matches!(member.state, MemberState::Dead | MemberState::Unreachable)
}
