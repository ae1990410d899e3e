use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use dotterelhook_types::ids::TargetId;

use super::DrainingTarget;

const KEPT_MS: u64 = 60_000;
const TARGETS_MAX: usize = 256;

/// The targets that this daemon saw draining.
#[derive(Debug, Default)]
pub(super) struct DrainingBoard {
    seen_at_ms: Mutex<BTreeMap<TargetId, u64>>,
}

impl DrainingBoard {
    /// Notes a target; the board is bounded and drops what is oldest.
    pub(super) fn add(&self, target: &TargetId, now_ms: u64) {
        let mut seen_at_ms = self
            .seen_at_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        seen_at_ms.insert(target.clone(), now_ms);
        if seen_at_ms.len() > TARGETS_MAX {
            let oldest = seen_at_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                seen_at_ms.remove(&oldest);
            }
        }
    }

    /// Returns the targets seen lately.
    pub(super) fn recent(&self, now_ms: u64) -> Vec<DrainingTarget> {
        let mut seen_at_ms = self
            .seen_at_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        seen_at_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < KEPT_MS);
        let targets = seen_at_ms.iter().map(|(target, at_ms)| DrainingTarget {
            target: target.clone(),
            age_ms: now_ms.saturating_sub(*at_ms),
        });
        targets.collect()
    }
}
