use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::ColocatedAttempt;
use super::InterferenceController;
use super::ServiceSample;
use crate::placement::JobKey;

/// Disables interference control: no actions, every placement is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoControl;

impl InterferenceController for NoControl {
    fn record_start(&mut self, _worker: &WorkerId, _started: ColocatedAttempt) {}

    fn record_end(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _now_ms: u64) {}

    fn record_action(
        &mut self,
        _worker: &WorkerId,
        _attempt: &AttemptId,
        _kind: ActionKind,
        _now_ms: u64,
    ) {
    }

    fn record_usage(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _share: f64) {}

    fn remove_worker(&mut self, _worker: &WorkerId) {}

    fn record_sample(&mut self, _sample: &ServiceSample) {}

    fn next_actions(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }

    fn allows(&self, _worker: &WorkerId, _job: &JobKey, _share: f64) -> bool {
        true
    }
}
