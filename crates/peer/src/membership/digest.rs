use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

use super::Heartbeat;
use super::MemberId;

/// Keeps the frame of one digest within one packet.
const DIGEST_ENTRIES_MAX: usize = 16;
const MS_PER_DS: u64 = 100;
const MS_PER_S: u64 = 1_000;

/// The fields of a member that are constant for the life of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDescription {
    /// The member's id.
    pub member: MemberId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The address that receives frames and peer calls.
    pub peer_address: SocketAddr,
    /// The address that serves operators.
    pub admin_address: SocketAddr,
    /// The address for requests of callers or job submitters.
    pub api_address: SocketAddr,
}

/// The newest heartbeat of a member in compact form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Identifies the process to receivers that know its description; see `process_key`.
    pub key: u32,
    /// The heartbeat's sequence number.
    pub sequence: u64,
    /// Time since the heartbeat was heard, in tenths of a second.
    pub age_ds: u64,
    /// The next configuration offset that the member will apply.
    pub config_offset: Offset,
    /// Time since the log last answered the member, in seconds; `None` if it never did.
    pub log_contact_age_s: Option<u64>,
    /// Whether the member is draining before a stop.
    pub is_draining: bool,
    /// The description; omitted once the receivers should know it.
    pub description: Option<MemberDescription>,
}

impl DigestEntry {
    /// Creates the entry of a heartbeat that was heard `age_ms` ago.
    pub fn new(heartbeat: &Heartbeat, age_ms: u64, includes_description: bool) -> Self {
        Self {
            key: process_key(&heartbeat.member, heartbeat.incarnation),
            sequence: heartbeat.sequence,
            age_ds: age_ms / MS_PER_DS,
            config_offset: heartbeat.config_offset,
            log_contact_age_s: heartbeat.log_contact_age_ms.map(|age_ms| age_ms / MS_PER_S),
            is_draining: heartbeat.is_draining,
            description: includes_description.then(|| MemberDescription {
                member: heartbeat.member.clone(),
                incarnation: heartbeat.incarnation,
                peer_address: heartbeat.peer_address,
                admin_address: heartbeat.admin_address,
                api_address: heartbeat.api_address,
            }),
        }
    }

    /// Returns the time since the heartbeat was heard, in milliseconds.
    pub(super) fn age_ms(&self) -> u64 {
        self.age_ds.saturating_mul(MS_PER_DS)
    }

    /// Rebuilds the heartbeat from this entry and a description received now or earlier.
    ///
    /// Draining targets are not part of a digest, so the heartbeat lists none.
    pub(super) fn heartbeat(
        &self,
        domain: &FailureDomain,
        description: &MemberDescription,
    ) -> Heartbeat {
        Heartbeat {
            member: description.member.clone(),
            incarnation: description.incarnation,
            sequence: self.sequence,
            failure_domain: domain.clone(),
            peer_address: description.peer_address,
            admin_address: description.admin_address,
            api_address: description.api_address,
            config_offset: self.config_offset,
            log_contact_age_ms: self
                .log_contact_age_s
                .map(|age_s| age_s.saturating_mul(MS_PER_S)),
            is_draining: self.is_draining,
            draining_targets: Vec::new(),
        }
    }
}

/// Some members of one failure domain; large domains need several digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The members' failure domain.
    pub failure_domain: FailureDomain,
    /// The members; receivers merge each entry independently.
    pub entries: Vec<DigestEntry>,
}

impl Digest {
    /// Splits entries into digests whose frames each fit into one packet.
    pub fn split(domain: &FailureDomain, entries: &[DigestEntry]) -> Vec<Self> {
        let parts = entries.chunks(DIGEST_ENTRIES_MAX).map(|part| Self {
            failure_domain: domain.clone(),
            entries: part.to_vec(),
        });
        parts.collect()
    }
}

/// Returns a short hash that identifies one process of a member.
pub(super) fn process_key(member: &MemberId, incarnation: Incarnation) -> u32 {
    rapidhash_v3(format!("{member}@{incarnation}").as_bytes()) as u32
}
