use tokio::time::Instant;

use super::CellState;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::model::ExecutorId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::OrderError;

/// What shows that the process of an executor has ended. A cut executor shows none of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum CrashEvidence {
    /// No process listens at its address.
    NoListener,
    /// Another executor answers at its address.
    OtherExecutor,
    /// A later incarnation of it answers.
    Restarted,
}

impl CrashEvidence {
    /// Returns what a failed renewal shows, or `None` if the executor may still run.
    fn of(error: &OrderError) -> Option<Self> {
        match error {
            OrderError::NoListener(_) => Some(Self::NoListener),
            OrderError::OtherExecutor => Some(Self::OtherExecutor),
            OrderError::Refused(_)
            | OrderError::Fenced
            | OrderError::NotSent(_)
            | OrderError::Unknown(_) => None,
        }
    }
}

/// Crashes of executors, told apart from silence.
impl CellState {
    /// Handles a renewal without a report.
    pub fn handle_renewal_failure(&mut self, id: &ExecutorId, error: &OrderError, now: Instant) {
        let heard_ms = self.heard_ms(id, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.silent_since.is_none() {
            executor.silent_since = Some(now);
            decided!(Decision::ExecutorSilent, executor: id, cause: error, heard_ms: heard_ms, runs: executor.runs().len());
        }
        if let Some(evidence) = CrashEvidence::of(error) {
            self.record_executor_crash(id, evidence, now);
        }
    }

    /// Records that the process of an executor has ended. Does nothing if this is known.
    pub(super) fn record_executor_crash(
        &mut self,
        id: &ExecutorId,
        evidence: CrashEvidence,
        now: Instant,
    ) {
        let heard_ms = self.heard_ms(id, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(key) = executor.key() else {
            return;
        };
        if executor.crashed_at.is_some() {
            return;
        }
        executor.crashed_at = Some(now);
        let started = executor.runs().iter().filter(|(_, view)| may_run(view));
        let newest = started.min_by_key(|(_, view)| view.age(now));
        let newest_task = newest.map(|(task, _)| task.to_string()).unwrap_or_default();
        let newest_age_ms = newest.map_or(0, |(_, view)| view.age(now).as_millis());
        decided!(Decision::ExecutorCrashed, executor: key, evidence: evidence, phase: executor.entry.phase, heard_ms: heard_ms, runs: executor.runs().len(), newest_task: newest_task, newest_age_ms: newest_age_ms);
        self.metrics.count_executor_crash(evidence.into());
    }
}

/// Returns whether the executor may have started a run.
fn may_run(view: &RunView) -> bool {
    !matches!(view.phase, RunPhase::Proposed | RunPhase::Withdrawn)
}
