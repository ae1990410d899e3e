use dotterelhook_state::shard::ShardId;
use dotterelhook_state::shard::ShardState;
use spdlog::info;

use super::StartGate;
use super::StartHold;
use crate::shard::ShardMetrics;

/// Logs and counts the steps of an evacuation for the owner of one shard.
#[derive(Debug, Default)]
pub(crate) struct EvacuationMonitor {
    hold: Option<StartHold>,
    is_empty: bool,
}

impl EvacuationMonitor {
    /// Logs a changed hold, and the moment at which the last attempt of an evacuated shard has ended.
    pub(crate) fn observe(
        &mut self,
        shard: &ShardId,
        gate: &StartGate,
        state: &ShardState,
        metrics: &ShardMetrics,
    ) {
        let hold = gate.hold();
        if !is_same_step(self.hold.as_ref(), hold.as_ref()) {
            log_hold(shard, gate, state, hold.as_ref());
            let held_change = i64::from(hold.is_some()) - i64::from(self.hold.is_some());
            metrics.held_shards.inc_by(held_change);
            self.is_empty = false;
        }
        self.hold = hold;
        let is_evacuated = matches!(self.hold, Some(StartHold::Evacuated { .. }));
        if is_evacuated && !self.is_empty && state.open_attempts().is_empty() {
            self.is_empty = true;
            info!("shard: evacuation of {shard}: empty, no attempt runs");
        }
    }

    /// Forgets the evacuation when the ownership of the shard ends.
    pub(crate) fn reset(&mut self, metrics: &ShardMetrics) {
        metrics
            .held_shards
            .dec_by(i64::from(self.hold.take().is_some()));
        self.is_empty = false;
    }
}

/// Returns whether two holds are the same step; the age of an outdated view does not matter.
fn is_same_step(a: Option<&StartHold>, b: Option<&StartHold>) -> bool {
    match (a, b) {
        (Some(StartHold::OutdatedView { .. }), Some(StartHold::OutdatedView { .. })) => true,
        _ => a == b,
    }
}

fn log_hold(shard: &ShardId, gate: &StartGate, state: &ShardState, hold: Option<&StartHold>) {
    let view_age = match gate.view_age_ms() {
        Some(age_ms) => format!("{age_ms} ms"),
        None => "unknown".to_owned(),
    };
    let Some(hold) = hold else {
        info!("shard: starts in {shard} are allowed again, view age {view_age}");
        return;
    };
    let attempts = state.open_attempts().keys();
    let (checkpointable, other): (Vec<_>, Vec<_>) = attempts.partition(|attempt| {
        let run = state.runs().get(&attempt.task.run);
        run.is_some_and(|run| run.spec.settings.checkpointable)
    });
    info!(
        "shard: nothing starts in {shard}: {hold}; view age {view_age}, still running {} with \
         checkpoints and {} without",
        checkpointable.len(),
        other.len()
    );
}
