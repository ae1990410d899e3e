use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;
use serde::Deserialize;
use serde::Serialize;

use super::Digest;
use super::DigestEntry;
use super::Heartbeat;
use super::MemberId;
use super::digest::MemberDescription;
use super::member_entry::MemberEntry;
use super::pause_tolerant_clock::PauseTolerantClock;

const SUSPECT_AFTER_MS: u64 = 3_000;
const DEAD_AFTER_MS: u64 = 8_000;
const EVICT_AFTER_MS: u64 = 600_000;
/// Heartbeats of another domain arrive late, because digests are sent at intervals and forwarded.
const DIGEST_DELAY_ALLOWANCE_MS: u64 = 12_000;
const DOMAIN_UNREACHABLE_AFTER_MS: u64 = 15_000;
const MEMBERS_MAX: usize = 4_096;

/// The state of a member as estimated by one observer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The member was heard recently.
    Alive,
    /// No heartbeat was heard for `SUSPECT_AFTER_MS`, plus an allowance for other domains.
    Suspect,
    /// No heartbeat was heard for `DEAD_AFTER_MS`, plus the same allowance.
    Dead,
    /// The member announced that it is about to stop.
    Draining,
    /// The member's whole failure domain is silent, so the member may still be alive.
    Unreachable,
}

/// One member as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time since the newest heartbeat was heard, here or by the reporting member, in milliseconds.
    pub age_ms: u64,
    /// The estimated state.
    pub state: MemberState,
}

/// The newest heartbeat of each member known to one daemon, bounded in size.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: MemberId,
    own_domain: FailureDomain,
    clock: PauseTolerantClock,
    entries: BTreeMap<MemberId, MemberEntry>,
    domains_heard_at_ms: BTreeMap<FailureDomain, u64>,
}

impl MemberTable {
    /// Creates the empty table of a daemon `own_id` in the failure domain `own_domain`.
    pub fn new(own_id: MemberId, own_domain: FailureDomain) -> Self {
        Self {
            own_id,
            own_domain,
            clock: PauseTolerantClock::default(),
            entries: BTreeMap::new(),
            domains_heard_at_ms: BTreeMap::new(),
        }
    }

    /// Records this daemon's own heartbeat; reports of other daemons never replace it.
    pub fn record_own_heartbeat(&mut self, heartbeat: Heartbeat, clock_ms: u64) {
        let now_ms = self.clock.advance(clock_ms);
        let entry = MemberEntry::new(heartbeat, now_ms, 0);
        self.entries.insert(self.own_id.clone(), entry);
    }

    /// Records a heartbeat heard now; returns whether it is newer than the known one.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, clock_ms: u64) -> bool {
        self.record_aged_heartbeat(heartbeat, 0, clock_ms)
    }

    /// Merges a digest; returns whether any entry is newer than the known heartbeat.
    pub fn merge_digest(&mut self, digest: &Digest, clock_ms: u64) -> bool {
        let mut is_newer = false;
        for entry in &digest.entries {
            let Some(description) = self.description(entry) else {
                continue;
            };
            let heartbeat = entry.heartbeat(&digest.failure_domain, &description);
            is_newer |= self.record_aged_heartbeat(heartbeat, entry.age_ms(), clock_ms);
        }
        is_newer
    }

    /// Returns the keys of a digest's entries that are neither described nor known.
    pub fn unknown_keys(&self, digest: &Digest) -> Vec<u32> {
        let unknown = digest
            .entries
            .iter()
            .filter(|entry| self.description(entry).is_none());
        unknown.map(|entry| entry.key).collect()
    }

    /// Evicts members and failure domains that have been silent for `EVICT_AFTER_MS`.
    pub fn evict_expired(&mut self, clock_ms: u64) {
        let now_ms = self.clock.advance(clock_ms);
        self.entries
            .retain(|_, entry| now_ms.saturating_sub(entry.heard_at_ms) < EVICT_AFTER_MS);
        self.domains_heard_at_ms
            .retain(|_, heard_at_ms| now_ms.saturating_sub(*heard_at_ms) < EVICT_AFTER_MS);
    }

    /// Returns all members in order of their ids.
    pub fn members(&self, clock_ms: u64) -> Vec<Member> {
        let now_ms = self.clock.elapsed_at(clock_ms);
        let members = self.entries.values().map(|entry| {
            let age_ms = now_ms.saturating_sub(entry.heard_at_ms);
            Member {
                heartbeat: entry.heartbeat.clone(),
                age_ms,
                state: self.state(&entry.heartbeat, age_ms, now_ms),
            }
        });
        members.collect()
    }

    /// Returns the ids of members discovered or restarted within `age_max_ms`.
    pub fn recently_discovered(&self, age_max_ms: u64, clock_ms: u64) -> Vec<MemberId> {
        let now_ms = self.clock.elapsed_at(clock_ms);
        let recent = self
            .entries
            .iter()
            .filter(|(_, entry)| now_ms.saturating_sub(entry.known_since_ms) <= age_max_ms);
        recent.map(|(id, _)| id.clone()).collect()
    }

    fn record_aged_heartbeat(&mut self, heartbeat: Heartbeat, age_ms: u64, clock_ms: u64) -> bool {
        let now_ms = self.clock.advance(clock_ms);
        if heartbeat.member == self.own_id {
            return false;
        }
        let heard_at_ms = now_ms.saturating_sub(age_ms);
        let domain = heartbeat.failure_domain.clone();
        let is_full = self.entries.len() >= MEMBERS_MAX;
        let is_newer = match self.entries.get_mut(&heartbeat.member) {
            Some(entry) => entry.apply(heartbeat, heard_at_ms, now_ms),
            None if is_full => false,
            None => {
                let entry = MemberEntry::new(heartbeat, heard_at_ms, now_ms);
                self.entries
                    .insert(entry.heartbeat.member.clone(), entry)
                    .is_none()
            }
        };
        if is_newer {
            let last_heard_at_ms = self.domains_heard_at_ms.entry(domain).or_default();
            *last_heard_at_ms = (*last_heard_at_ms).max(heard_at_ms);
        }
        is_newer
    }

    fn description(&self, entry: &DigestEntry) -> Option<MemberDescription> {
        if entry.description.is_some() {
            return entry.description.clone();
        }
        let known = self.heartbeat_by_key(entry.key)?;
        DigestEntry::new(known, 0, true).description
    }

    fn heartbeat_by_key(&self, key: u32) -> Option<&Heartbeat> {
        self.entries
            .values()
            .find_map(|entry| entry.heartbeat_by_key(key))
    }

    fn state(&self, heartbeat: &Heartbeat, age_ms: u64, now_ms: u64) -> MemberState {
        let is_own = heartbeat.failure_domain == self.own_domain;
        let domain_heard_at_ms = self.domains_heard_at_ms.get(&heartbeat.failure_domain);
        let domain_silence_ms = now_ms.saturating_sub(domain_heard_at_ms.copied().unwrap_or(0));
        if !is_own && domain_silence_ms >= DOMAIN_UNREACHABLE_AFTER_MS {
            return MemberState::Unreachable;
        }
        let allowance_ms = if is_own { 0 } else { DIGEST_DELAY_ALLOWANCE_MS };
        match age_ms.saturating_sub(allowance_ms) {
            DEAD_AFTER_MS.. => MemberState::Dead,
            _ if heartbeat.is_draining => MemberState::Draining,
            SUSPECT_AFTER_MS.. => MemberState::Suspect,
            _ => MemberState::Alive,
        }
    }
}
