use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use super::Heartbeat;
use super::MemberId;

const ENTRIES_MAX: usize = 16;

/// What seldom changes of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    /// The member.
    pub member: MemberId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Where it takes heartbeats.
    pub peer_address: SocketAddr,
    /// Where it answers operators.
    pub admin_address: SocketAddr,
    /// Where it takes requests.
    pub api_address: SocketAddr,
}

/// The newest heartbeat of a member in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Names the process to those who know its description.
    pub key: u32,
    /// The heartbeat's number.
    pub sequence: u64,
    /// Time since the heartbeat was heard.
    pub age_ms: u64,
    /// The next offset of the member's configuration.
    pub config_offset: Offset,
    /// The time since the log last answered the member.
    pub log_contact_age_ms: Option<u64>,
    /// Whether the member is about to stop.
    pub is_draining: bool,
    /// The description; left out of most digests.
    pub description: Option<Description>,
}

impl DigestEntry {
    /// Creates the entry of a heartbeat that was heard some time ago.
    pub fn new(heartbeat: &Heartbeat, age_ms: u64, is_described: bool) -> Self {
        Self {
            key: process_key(&heartbeat.member, heartbeat.incarnation),
            sequence: heartbeat.sequence,
            age_ms,
            config_offset: heartbeat.config_offset,
            log_contact_age_ms: heartbeat.log_contact_age_ms,
            is_draining: heartbeat.is_draining,
            description: is_described.then(|| Description {
                member: heartbeat.member.clone(),
                incarnation: heartbeat.incarnation,
                peer_address: heartbeat.peer_address,
                admin_address: heartbeat.admin_address,
                api_address: heartbeat.api_address,
            }),
        }
    }

    /// Returns the heartbeat, given the description sent now or earlier.
    pub(super) fn heartbeat(&self, domain: &FailureDomain, described: &Description) -> Heartbeat {
        Heartbeat {
            member: described.member.clone(),
            incarnation: described.incarnation,
            sequence: self.sequence,
            failure_domain: domain.clone(),
            peer_address: described.peer_address,
            admin_address: described.admin_address,
            api_address: described.api_address,
            config_offset: self.config_offset,
            log_contact_age_ms: self.log_contact_age_ms,
            is_draining: self.is_draining,
            draining_targets: Vec::new(),
        }
    }
}

/// Some members of one failure domain; a frame of bounded size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The members' failure domain.
    pub failure_domain: FailureDomain,
    /// The members, each merged by itself.
    pub entries: Vec<DigestEntry>,
}

impl Digest {
    /// Splits entries so that each frame fits into one packet.
    pub fn split(domain: &FailureDomain, entries: &[DigestEntry]) -> Vec<Self> {
        let parts = entries.chunks(ENTRIES_MAX).map(|part| Self {
            failure_domain: domain.clone(),
            entries: part.to_vec(),
        });
        parts.collect()
    }
}

/// Returns a short name of a process.
pub(super) fn process_key(member: &MemberId, incarnation: Incarnation) -> u32 {
    rapidhash_v3(format!("{member}@{incarnation}").as_bytes()) as u32
}
