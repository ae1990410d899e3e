use std::collections::BTreeMap;

use dotterelhook_types::ids::FailureDomain;
use serde::Deserialize;
use serde::Serialize;

use super::Digest;
use super::DigestEntry;
use super::Heartbeat;
use super::MemberId;
use super::digest::Description;
use super::member_entry::MemberEntry;
use super::own_time::OwnTime;

const SUSPECT_AFTER_MS: u64 = 3_000;
const DEAD_AFTER_MS: u64 = 8_000;
const FORGET_AFTER_MS: u64 = 600_000;
const DIGEST_DELAY_MS: u64 = 12_000;
const DOMAIN_STALE_AFTER_MS: u64 = 15_000;
const MEMBERS_MAX: usize = 4_096;

/// What is believed of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// It was heard lately.
    Alive,
    /// It was not heard for some time.
    Suspect,
    /// It was not heard for long.
    Dead,
    /// It is about to stop.
    Draining,
    /// Nothing was heard of its whole failure domain; whether it lives isn't known.
    Unreachable,
}

/// One member as it is known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time since the newest heartbeat.
    pub age_ms: u64,
    /// What is believed of it.
    pub state: MemberState,
}

/// The newest heartbeat of each member, as one daemon knows it.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: MemberId,
    own_domain: FailureDomain,
    time: OwnTime,
    entries: BTreeMap<MemberId, MemberEntry>,
    domains_heard_at_ms: BTreeMap<FailureDomain, u64>,
}

impl MemberTable {
    /// Creates an empty table of a daemon in a failure domain.
    pub fn new(own_id: MemberId, own_domain: FailureDomain) -> Self {
        Self {
            own_id,
            own_domain,
            time: OwnTime::default(),
            entries: BTreeMap::new(),
            domains_heard_at_ms: BTreeMap::new(),
        }
    }

    /// Takes in this daemon's own heartbeat, which nothing that others say replaces.
    pub fn hear_own(&mut self, heartbeat: Heartbeat, clock_ms: u64) {
        let now_ms = self.time.advance(clock_ms);
        let entry = MemberEntry::new(heartbeat, now_ms, 0);
        self.entries.insert(self.own_id.clone(), entry);
    }

    /// Takes in a heartbeat; returns whether it was news.
    pub fn hear(&mut self, heartbeat: Heartbeat, clock_ms: u64) -> bool {
        self.hear_of(heartbeat, 0, clock_ms)
    }

    /// Takes in what another member heard; returns whether any of it was news.
    pub fn merge(&mut self, digest: &Digest, clock_ms: u64) -> bool {
        let mut is_news = false;
        for entry in &digest.entries {
            let Some(description) = self.description(entry) else {
                continue;
            };
            let heartbeat = entry.heartbeat(&digest.failure_domain, &description);
            is_news |= self.hear_of(heartbeat, entry.age_ms, clock_ms);
        }
        is_news
    }

    /// Drops members that were not heard for very long.
    pub fn forget_old(&mut self, clock_ms: u64) {
        let now_ms = self.time.advance(clock_ms);
        self.entries
            .retain(|_, entry| now_ms.saturating_sub(entry.heard_at_ms) < FORGET_AFTER_MS);
        self.domains_heard_at_ms
            .retain(|_, heard_at_ms| now_ms.saturating_sub(*heard_at_ms) < FORGET_AFTER_MS);
    }

    /// Returns all members in order of their ids.
    pub fn members(&self, clock_ms: u64) -> Vec<Member> {
        let now_ms = self.time.at(clock_ms);
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

    /// Returns the ids of members that became known lately.
    pub fn known_since(&self, age_max_ms: u64, clock_ms: u64) -> Vec<MemberId> {
        let now_ms = self.time.at(clock_ms);
        let recent = self
            .entries
            .iter()
            .filter(|(_, entry)| now_ms.saturating_sub(entry.known_since_ms) <= age_max_ms);
        recent.map(|(id, _)| id.clone()).collect()
    }

    fn hear_of(&mut self, heartbeat: Heartbeat, age_ms: u64, clock_ms: u64) -> bool {
        let now_ms = self.time.advance(clock_ms);
        if heartbeat.member == self.own_id {
            return false;
        }
        let heard_at_ms = now_ms.saturating_sub(age_ms);
        let domain = heartbeat.failure_domain.clone();
        let is_full = self.entries.len() >= MEMBERS_MAX;
        let is_news = match self.entries.get_mut(&heartbeat.member) {
            Some(entry) => entry.hear(heartbeat, heard_at_ms, now_ms),
            None if is_full => false,
            None => {
                let entry = MemberEntry::new(heartbeat, heard_at_ms, now_ms);
                self.entries
                    .insert(entry.heartbeat.member.clone(), entry)
                    .is_none()
            }
        };
        if is_news {
            let heard = self.domains_heard_at_ms.entry(domain).or_default();
            *heard = (*heard).max(heard_at_ms);
        }
        is_news
    }

    fn description(&self, entry: &DigestEntry) -> Option<Description> {
        if entry.description.is_some() {
            return entry.description.clone();
        }
        let known = self.entries.values().find(|known| known.key == entry.key);
        known.and_then(|known| DigestEntry::new(&known.heartbeat, 0, true).description)
    }

    fn state(&self, heartbeat: &Heartbeat, age_ms: u64, now_ms: u64) -> MemberState {
        let is_own = heartbeat.failure_domain == self.own_domain;
        let domain_heard_at_ms = self.domains_heard_at_ms.get(&heartbeat.failure_domain);
        let domain_age_ms = now_ms.saturating_sub(domain_heard_at_ms.copied().unwrap_or(0));
        if !is_own && domain_age_ms >= DOMAIN_STALE_AFTER_MS {
            return MemberState::Unreachable;
        }
        let delay_ms = if is_own { 0 } else { DIGEST_DELAY_MS };
        match age_ms.saturating_sub(delay_ms) {
            DEAD_AFTER_MS.. => MemberState::Dead,
            _ if heartbeat.is_draining => MemberState::Draining,
            SUSPECT_AFTER_MS.. => MemberState::Suspect,
            _ => MemberState::Alive,
        }
    }
}
