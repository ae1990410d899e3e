use std::collections::BTreeMap;

use dotterelhook_types::sizes::CpuMilli;
use tokio::time::Instant;

use super::CellState;
use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::policy::ShortWorkDemand;

/// The tasks with an end of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShortWork {
    demand: ShortWorkDemand,
    /// The processors that placed tasks hold, as of this round.
    running: CpuMilli,
}

/// The room that long-running tasks leave to tasks with an end.
impl CellState {
    /// Updates the demand for processors by tasks with an end.
    pub(super) fn update_short_work(&mut self, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        let mut pools: BTreeMap<ServiceId, (CpuMilli, CpuMilli)> = BTreeMap::new();
        for job in self.ledger.jobs().filter(|job| job.is_open()) {
            let (running, waiting) = short_work_of(job);
            if running.0 > 0 || waiting.0 > 0 {
                let service = &Self::queue_config(&self.config, job).service;
                let (pool_running, pool_waiting) = pools.entry(service.clone()).or_default();
                pool_running.0 = pool_running.0.saturating_add(running.0);
                pool_waiting.0 = pool_waiting.0.saturating_add(waiting.0);
            }
        }
        for service in pools.keys() {
            self.short_work
                .entry(service.clone())
                .or_insert_with(|| ShortWork {
                    demand: ShortWorkDemand::new(now_ms),
                    running: CpuMilli(0),
                });
        }
        for (service, work) in &mut self.short_work {
            let (running, waiting) = pools.get(service).copied().unwrap_or_default();
            let wanted = CpuMilli(running.0.saturating_add(waiting.0));
            work.demand.record(wanted, now_ms);
            work.running = running;
        }
    }

    /// Returns whether a long-running task leaves the processors free that tasks with an end usually
    /// want of the pool.
    pub(super) fn leaves_room_for_short_work(&self, service: &ServiceId, step: &StepSpec) -> bool {
        let Some(work) = self.short_work.get(service) else {
            return true;
        };
        let executors = self.executors.values();
        let pool = executors.filter(|executor| executor.entry.service == *service);
        let free_milli = pool.fold(0_u64, |sum, executor| {
            sum.saturating_add(executor.free().cpu_milli.0)
        });
        let reserve = work.demand.reserve(work.running);
        free_milli >= step.reserved().cpu_milli.0.saturating_add(reserve.0)
    }
}

/// Returns the processors that the tasks with an end of a job hold, and those that they wait for.
fn short_work_of(job: &Job) -> (CpuMilli, CpuMilli) {
    let running = job
        .steps()
        .map(|step_ref| (step_ref, job.placed_count(step_ref)));
    let waiting = job
        .ready_steps()
        .map(|step_ref| (step_ref, job.waiting_count(step_ref)));
    let cpu_milli = |sum: u64, (step_ref, count): (StepRef, u32)| {
        let step = job.step(step_ref.step);
        let need_milli = match step.is_long_running {
            true => 0,
            false => step.reserved().cpu_milli.0,
        };
        sum.saturating_add(need_milli.saturating_mul(u64::from(count)))
    };
    (
        CpuMilli(running.fold(0, cpu_milli)),
        CpuMilli(waiting.fold(0, cpu_milli)),
    )
}
