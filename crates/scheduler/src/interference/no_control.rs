use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::InterferenceController;
use super::Resident;
use super::ServiceSample;
use super::Step;
use crate::placement::JobKey;

/// Ignores the services.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoControl;

impl InterferenceController for NoControl {
    fn started(&mut self, _worker: &WorkerId, _resident: Resident) {}

    fn ended(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _now_ms: u64) {}

    fn stepped(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _step: Step, _now_ms: u64) {}

    fn used(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _share: f64) {}

    fn forget_worker(&mut self, _worker: &WorkerId) {}

    fn measured(&mut self, _sample: &ServiceSample) {}

    fn act(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }

    fn allows(&self, _worker: &WorkerId, _job: &JobKey, _share: f64) -> bool {
        true
    }
}
