use dotterelhook_types::ids::Incarnation;

use super::Heartbeat;
use super::digest::process_key;

const RIVAL_HEARTBEATS_MIN: u32 = 3;
/// A rival counts only after the current process has been silent for this long.
const RIVAL_MIN_SILENCE_MS: u64 = 3_000;

/// A process that claims the member's id with a lower or replaced incarnation.
///
/// The cause is a delayed datagram of a predecessor, or a successor whose clock was set back.
#[derive(Clone, Debug)]
struct Rival {
    heartbeat: Heartbeat,
    key: u32,
    heartbeat_count: u32,
}

impl Rival {
    fn new(heartbeat: &Heartbeat) -> Self {
        Self {
            heartbeat: heartbeat.clone(),
            key: process_key(&heartbeat.member, heartbeat.incarnation),
            heartbeat_count: 1,
        }
    }
}

/// The newest heartbeat of a member, protected against delayed heartbeats of older processes.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) heartbeat: Heartbeat,
    key: u32,
    pub(super) heard_at_ms: u64,
    pub(super) known_since_ms: u64,
    replaced_incarnation: Option<Incarnation>,
    rival: Option<Rival>,
}

impl MemberEntry {
    /// Creates the entry of a newly discovered member or process.
    pub(super) fn new(heartbeat: Heartbeat, heard_at_ms: u64, now_ms: u64) -> Self {
        Self {
            key: process_key(&heartbeat.member, heartbeat.incarnation),
            heartbeat,
            heard_at_ms,
            known_since_ms: now_ms,
            replaced_incarnation: None,
            rival: None,
        }
    }

    /// Returns the newest heartbeat of the process with a key: the current one or its rival.
    pub(super) fn heartbeat_by_key(&self, key: u32) -> Option<&Heartbeat> {
        if self.key == key {
            return Some(&self.heartbeat);
        }
        let rival = self.rival.as_ref().filter(|rival| rival.key == key);
        rival.map(|rival| &rival.heartbeat)
    }

    /// Applies a heartbeat; returns whether it changed the entry's newest heartbeat.
    pub(super) fn apply(&mut self, heartbeat: Heartbeat, heard_at_ms: u64, now_ms: u64) -> bool {
        let current = self.heartbeat.incarnation;
        if heartbeat.incarnation == current {
            return self.refresh(heartbeat, heard_at_ms);
        }
        let is_superseded = heartbeat.incarnation < current
            || self.replaced_incarnation == Some(heartbeat.incarnation);
        if is_superseded && !self.track_rival(&heartbeat, now_ms) {
            return false;
        }
        *self = Self {
            replaced_incarnation: Some(current),
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

    /// Tracks a rival's heartbeats; returns whether it should replace the current process.
    ///
    /// A rival that keeps sending while the current process is silent is a real successor. The
    /// count restarts when the current process is heard again.
    fn track_rival(&mut self, heartbeat: &Heartbeat, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.heard_at_ms) < RIVAL_MIN_SILENCE_MS {
            self.rival = None;
            return false;
        }
        let rival = match &mut self.rival {
            Some(rival) if rival.heartbeat.incarnation == heartbeat.incarnation => rival,
            other => other.insert(Rival::new(heartbeat)),
        };
        if heartbeat.sequence > rival.heartbeat.sequence {
            rival.heartbeat = heartbeat.clone();
            rival.heartbeat_count += 1;
        }
        rival.heartbeat_count >= RIVAL_HEARTBEATS_MIN
    }
}
