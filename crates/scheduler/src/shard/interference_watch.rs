use std::collections::BTreeMap;

use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::UsageSample;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::Resources;

use crate::interference::InterferenceController;
use crate::interference::Resident;
use crate::interference::ServiceSample;
use crate::placement::JobKey;

/// Measurements closer together than this are taken for one that was told twice.
const SAMPLE_GAP_MS: u64 = 500;

/// Feeds an interference controller with what an owner learns of its workers.
pub(super) struct InterferenceWatch {
    pub(super) controller: Box<dyn InterferenceController>,
    measured_at_ms: BTreeMap<(WorkerId, ServiceName), u64>,
}

impl InterferenceWatch {
    /// Creates a watch that has seen nothing.
    pub(super) fn new(controller: Box<dyn InterferenceController>) -> Self {
        Self {
            controller,
            measured_at_ms: BTreeMap::new(),
        }
    }

    /// Takes note of an attempt that may run from now on.
    pub(super) fn start(&mut self, state: &ShardState, attempt: &AttemptId, now_ms: u64) {
        let Some(open) = state.open_attempts().get(attempt) else {
            return;
        };
        let Some(run) = state.runs().get(&attempt.task.run) else {
            return;
        };
        let job = JobKey {
            team: run.spec.team.clone(),
            job: run.spec.job.clone(),
        };
        let share = share(state, &open.worker, &open.size);
        let resident = Resident::new(attempt.clone(), job, share, now_ms);
        self.controller.started(&open.worker, resident);
    }

    /// Takes in the lagging measurements of a worker; one told twice counts once.
    pub(super) fn measure(
        &mut self,
        state: &ShardState,
        config: &ConfigState,
        inventory: &Inventory,
        now_ms: u64,
    ) {
        for sample in &inventory.usage {
            if let Some(attempt) = &sample.attempt {
                let share = share(state, &inventory.worker, &sample.used);
                self.controller.used(&inventory.worker, attempt, share);
            }
            if let Some(measured) = service_sample(config, &inventory.worker, sample, now_ms)
                && self.is_new(&measured)
            {
                self.controller.measured(&measured);
            }
        }
    }

    fn is_new(&mut self, sample: &ServiceSample) -> bool {
        let key = (sample.worker.clone(), sample.service.clone());
        let last = self.measured_at_ms.get(&key).copied();
        let is_new = last.is_none_or(|last| sample.measured_at_ms > last + SAMPLE_GAP_MS);
        if is_new {
            self.measured_at_ms.insert(key, sample.measured_at_ms);
        }
        is_new
    }

    /// Forgets a worker that is gone for good.
    pub(super) fn forget_worker(&mut self, worker: &WorkerId) {
        self.controller.forget_worker(worker);
        self.measured_at_ms.retain(|(known, _), _| known != worker);
    }
}

/// Returns a size as a share of the worker's recorded processors.
fn share(state: &ShardState, worker: &WorkerId, size: &Resources) -> f64 {
    let account = state.workers().get(worker);
    let whole = account.map_or(CpuMilli(1), |account| account.capacity.cpu_milli);
    size.cpu_milli.0 as f64 / whole.0.max(1) as f64
}

fn service_sample(
    config: &ConfigState,
    worker: &WorkerId,
    sample: &UsageSample,
    now_ms: u64,
) -> Option<ServiceSample> {
    let service = sample.service.clone()?;
    let latency_us = sample.latency_us? as f64;
    let declared = config.service(&service);
    let declared_milli = declared.map(|settings| settings.size.cpu_milli.0);
    let load = declared_milli.map_or(1.0, |milli| sample.used.cpu_milli.0 as f64 / milli as f64);
    Some(ServiceSample {
        worker: worker.clone(),
        service,
        measured_at_ms: now_ms.saturating_sub(sample.age_ms),
        latency_us,
        load,
    })
}
