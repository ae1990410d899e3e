use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dotterelhook_types::ids::TargetId;

use super::DrainingTarget;

const RETENTION_MS: u64 = 60_000;
const TARGETS_MAX: usize = 1_024;
const ANNOUNCEMENTS_PER_REPORT: u8 = 5;
const REANNOUNCE_AFTER_MS: u64 = 30_000;
/// Keeps the frame of one heartbeat within one packet.
const ANNOUNCED_PER_HEARTBEAT_MAX: usize = 24;

#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    observed_at_ms: u64,
    reported_at_ms: Option<u64>,
    announcements_left: u8,
}

/// Targets observed draining, by this daemon or by others of its failure domain.
#[derive(Debug, Default)]
pub(super) struct DrainingGossip {
    observations: Mutex<BTreeMap<TargetId, Observation>>,
}

impl DrainingGossip {
    /// Records an observation of this daemon and schedules its announcement.
    ///
    /// Each report is announced in several heartbeats, because datagrams may get lost.
    pub(super) fn report(&self, target: &TargetId, now_ms: u64) {
        let mut observations = self.observations();
        let observation = observations.entry(target.clone()).or_default();
        observation.observed_at_ms = now_ms;
        let is_recent_report = observation
            .reported_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REANNOUNCE_AFTER_MS);
        if !is_recent_report {
            observation.reported_at_ms = Some(now_ms);
            observation.announcements_left = ANNOUNCEMENTS_PER_REPORT;
        }
        evict_oldest(&mut observations);
    }

    /// Merges the observations of another daemon.
    pub(super) fn merge(&self, targets: &[DrainingTarget], now_ms: u64) {
        let mut observations = self.observations();
        for reported in targets {
            let observation = observations.entry(reported.target.clone()).or_default();
            let observed_at_ms = now_ms.saturating_sub(reported.age_ms);
            observation.observed_at_ms = observation.observed_at_ms.max(observed_at_ms);
        }
        evict_oldest(&mut observations);
    }

    /// Returns the targets to announce in the next heartbeat and counts their announcements.
    ///
    /// Targets with the most announcements left come first.
    pub(super) fn next_announcements(&self, now_ms: u64) -> Vec<DrainingTarget> {
        let mut observations = self.observations();
        observations.retain(|_, entry| now_ms.saturating_sub(entry.observed_at_ms) < RETENTION_MS);
        let mut due: Vec<_> = observations
            .iter_mut()
            .filter(|(_, observation)| observation.announcements_left > 0)
            .collect();
        due.sort_by_key(|(_, observation)| Reverse(observation.announcements_left));
        due.truncate(ANNOUNCED_PER_HEARTBEAT_MAX);
        let announced = due.into_iter().map(|(target, observation)| {
            observation.announcements_left -= 1;
            draining_target(target, observation, now_ms)
        });
        announced.collect()
    }

    /// Returns all targets observed draining within the retention period, in order of their ids.
    pub(super) fn recent(&self, now_ms: u64) -> Vec<DrainingTarget> {
        let observations = self.observations();
        let recent = observations
            .iter()
            .filter(|(_, entry)| now_ms.saturating_sub(entry.observed_at_ms) < RETENTION_MS);
        recent
            .map(|(target, observation)| draining_target(target, observation, now_ms))
            .collect()
    }

    fn observations(&self) -> MutexGuard<'_, BTreeMap<TargetId, Observation>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn draining_target(target: &TargetId, observation: &Observation, now_ms: u64) -> DrainingTarget {
    DrainingTarget {
        target: target.clone(),
        age_ms: now_ms.saturating_sub(observation.observed_at_ms),
    }
}

fn evict_oldest(observations: &mut BTreeMap<TargetId, Observation>) {
    while observations.len() > TARGETS_MAX {
        let oldest = observations
            .iter()
            .min_by_key(|(_, observation)| observation.observed_at_ms);
        let Some(oldest) = oldest.map(|(target, _)| target.clone()) else {
            return;
        };
        observations.remove(&oldest);
    }
}
