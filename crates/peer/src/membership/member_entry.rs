use dotterelhook_types::ids::Incarnation;

use super::Heartbeat;
use super::digest::process_key;

const RIVAL_HEARTBEATS_MIN: u32 = 3;
const SILENT_AFTER_MS: u64 = 3_000;

/// A process of lower number that claims a member's id: a late datagram of the
/// predecessor, or a successor whose clock went back.
#[derive(Clone, Debug)]
struct Rival {
    incarnation: Incarnation,
    sequence: u64,
    heartbeats: u32,
}

/// The newest heartbeat of a member, and what protects it from older ones.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) heartbeat: Heartbeat,
    pub(super) key: u32,
    pub(super) heard_at_ms: u64,
    pub(super) known_since_ms: u64,
    replaced: Option<Incarnation>,
    rival: Option<Rival>,
}

impl MemberEntry {
    /// Creates the entry of a member that was not known.
    pub(super) fn new(heartbeat: Heartbeat, heard_at_ms: u64, now_ms: u64) -> Self {
        Self {
            key: process_key(&heartbeat.member, heartbeat.incarnation),
            heartbeat,
            heard_at_ms,
            known_since_ms: now_ms,
            replaced: None,
            rival: None,
        }
    }

    /// Takes in a heartbeat; returns whether it was news.
    pub(super) fn hear(&mut self, heartbeat: Heartbeat, heard_at_ms: u64, now_ms: u64) -> bool {
        let known = self.heartbeat.incarnation;
        if heartbeat.incarnation == known {
            return self.refresh(heartbeat, heard_at_ms);
        }
        let is_late = heartbeat.incarnation < known || self.replaced == Some(heartbeat.incarnation);
        if is_late && !self.accepts_rival(&heartbeat, now_ms) {
            return false;
        }
        *self = Self {
            replaced: Some(known),
            ..Self::new(heartbeat, heard_at_ms, now_ms)
        };
        true
    }

    fn refresh(&mut self, heartbeat: Heartbeat, heard_at_ms: u64) -> bool {
        if heartbeat.sequence <= self.heartbeat.sequence {
            return false;
        }
        self.rival = None;
        self.heard_at_ms = self.heard_at_ms.max(heard_at_ms);
        self.heartbeat = heartbeat;
        true
    }

    /// Accepts a process of lower number once it goes on while the known one is silent.
    fn accepts_rival(&mut self, heartbeat: &Heartbeat, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.heard_at_ms) < SILENT_AFTER_MS {
            self.rival = None;
            return false;
        }
        let rival = self.rival.get_or_insert(Rival {
            incarnation: heartbeat.incarnation,
            sequence: 0,
            heartbeats: 0,
        });
        if rival.incarnation != heartbeat.incarnation {
            self.rival = None;
            return false;
        }
        if heartbeat.sequence > rival.sequence {
            rival.sequence = heartbeat.sequence;
            rival.heartbeats += 1;
        }
        rival.heartbeats >= RIVAL_HEARTBEATS_MIN
    }
}
