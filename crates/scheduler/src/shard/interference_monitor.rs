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

use crate::interference::ColocatedAttempt;
use crate::interference::InterferenceController;
use crate::interference::ServiceSample;
use crate::placement::JobKey;

/// A sample measured less than this after the last one counts as a repeated report of that sample.
/// The measurement time is derived from the reported age, so it varies between reports.
const DUPLICATE_SAMPLE_WINDOW_MS: u64 = 500;

/// Reports attempts, their CPU shares and service latencies to an interference controller.
pub(super) struct InterferenceMonitor {
    pub(super) controller: Box<dyn InterferenceController>,
    measured_at_ms: BTreeMap<(WorkerId, ServiceName), u64>,
}

impl InterferenceMonitor {
    pub(super) fn new(controller: Box<dyn InterferenceController>) -> Self {
        Self {
            controller,
            measured_at_ms: BTreeMap::new(),
        }
    }

    /// Reports an open attempt, which may run from now on.
    pub(super) fn record_start(&mut self, state: &ShardState, attempt: &AttemptId, now_ms: u64) {
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
        let share = cpu_share(state, &open.worker, &open.size);
        let colocated = ColocatedAttempt::new(attempt.clone(), job, share, now_ms);
        self.controller.record_start(&open.worker, colocated);
    }

    /// Reports the usage samples of an inventory, and each latency measurement once.
    ///
    /// Samples arrive with a delay, and a worker may repeat a sample in several inventories.
    pub(super) fn record_usage(
        &mut self,
        state: &ShardState,
        config: &ConfigState,
        inventory: &Inventory,
        now_ms: u64,
    ) {
        for sample in &inventory.usage {
            if let Some(attempt) = &sample.attempt {
                let share = cpu_share(state, &inventory.worker, &sample.used);
                self.controller
                    .record_usage(&inventory.worker, attempt, share);
            }
            if let Some(measured) = service_sample(config, &inventory.worker, sample, now_ms)
                && self.is_new(&measured)
            {
                self.controller.record_sample(&measured);
            }
        }
    }

    fn is_new(&mut self, sample: &ServiceSample) -> bool {
        let key = (sample.worker.clone(), sample.service.clone());
        let last = self.measured_at_ms.get(&key).copied();
        let is_new =
            last.is_none_or(|last| sample.measured_at_ms > last + DUPLICATE_SAMPLE_WINDOW_MS);
        if is_new {
            self.measured_at_ms.insert(key, sample.measured_at_ms);
        }
        is_new
    }

    /// Drops the data of a worker that was removed from the host list.
    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        self.controller.remove_worker(worker);
        self.measured_at_ms.retain(|(known, _), _| known != worker);
    }
}

/// Returns the CPU time of a size as a fraction of the worker's recorded capacity.
fn cpu_share(state: &ShardState, worker: &WorkerId, size: &Resources) -> f64 {
    let worker_state = state.workers().get(worker);
    let whole = worker_state.map_or(CpuMilli(1), |worker_state| worker_state.capacity.cpu_milli);
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
