use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dotterelhook_types::ids::TargetId;

use super::DrainingTarget;

const KEPT_MS: u64 = 60_000;
const TARGETS_MAX: usize = 1_024;
const REPEATS: u8 = 5;
const REPEAT_AGAIN_AFTER_MS: u64 = 30_000;
/// Keeps a heartbeat within one packet.
const ANNOUNCED_MAX: usize = 24;

#[derive(Clone, Copy, Debug, Default)]
struct Sight {
    seen_at_ms: u64,
    reported_at_ms: Option<u64>,
    repeats_left: u8,
}

/// The targets that were seen draining, here or by others.
#[derive(Debug, Default)]
pub(super) struct DrainingBoard {
    sights: Mutex<BTreeMap<TargetId, Sight>>,
}

impl DrainingBoard {
    /// Notes what this daemon saw; the next few heartbeats tell it to the others.
    pub(super) fn report(&self, target: &TargetId, now_ms: u64) {
        let mut sights = self.sights();
        let sight = sights.entry(target.clone()).or_default();
        sight.seen_at_ms = now_ms;
        let is_told = sight
            .reported_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REPEAT_AGAIN_AFTER_MS);
        if !is_told {
            sight.reported_at_ms = Some(now_ms);
            sight.repeats_left = REPEATS;
        }
        drop_oldest(&mut sights);
    }

    /// Notes what another daemon saw.
    pub(super) fn hear(&self, targets: &[DrainingTarget], now_ms: u64) {
        let mut sights = self.sights();
        for heard in targets {
            let sight = sights.entry(heard.target.clone()).or_default();
            let seen_at_ms = now_ms.saturating_sub(heard.age_ms);
            sight.seen_at_ms = sight.seen_at_ms.max(seen_at_ms);
        }
        drop_oldest(&mut sights);
    }

    /// Returns what the next heartbeat tells: each report a few times, a limited number at once.
    pub(super) fn announce(&self, now_ms: u64) -> Vec<DrainingTarget> {
        let mut sights = self.sights();
        sights.retain(|_, sight| now_ms.saturating_sub(sight.seen_at_ms) < KEPT_MS);
        let mut due: Vec<_> = sights
            .iter_mut()
            .filter(|(_, sight)| sight.repeats_left > 0)
            .collect();
        due.sort_by_key(|(_, sight)| Reverse(sight.repeats_left));
        due.truncate(ANNOUNCED_MAX);
        let announced = due.into_iter().map(|(target, sight)| {
            sight.repeats_left -= 1;
            draining_target(target, sight, now_ms)
        });
        announced.collect()
    }

    /// Returns all targets seen lately, in order of their ids.
    pub(super) fn recent(&self, now_ms: u64) -> Vec<DrainingTarget> {
        let sights = self.sights();
        let recent = sights
            .iter()
            .filter(|(_, sight)| now_ms.saturating_sub(sight.seen_at_ms) < KEPT_MS);
        recent
            .map(|(target, sight)| draining_target(target, sight, now_ms))
            .collect()
    }

    fn sights(&self) -> MutexGuard<'_, BTreeMap<TargetId, Sight>> {
        self.sights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn draining_target(target: &TargetId, sight: &Sight, now_ms: u64) -> DrainingTarget {
    DrainingTarget {
        target: target.clone(),
        age_ms: now_ms.saturating_sub(sight.seen_at_ms),
    }
}

/// Keeps the board bounded.
fn drop_oldest(sights: &mut BTreeMap<TargetId, Sight>) {
    while sights.len() > TARGETS_MAX {
        let oldest = sights.iter().min_by_key(|(_, sight)| sight.seen_at_ms);
        let Some(oldest) = oldest.map(|(target, _)| target.clone()) else {
            return;
        };
        sights.remove(&oldest);
    }
}
