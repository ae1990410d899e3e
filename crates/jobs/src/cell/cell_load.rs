use dotterelhook_types::sizes::CpuMilli;
use tokio::time::Instant;

use super::CellState;
use crate::ledger::TaskStatus;
use crate::observe::Decision;
use crate::observe::decided;

/// The load of a cell: open jobs, waiting tasks and processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellLoad {
    /// The number of jobs without a final state.
    pub open_jobs: u64,
    /// The number of waiting long-running tasks whose predecessors are done.
    pub waiting_serving: u64,
    /// The number of waiting fillers whose predecessors are done.
    pub waiting_fillers: u64,
    /// The number of other waiting tasks whose predecessors are done.
    pub waiting_others: u64,
    /// The number of placed fillers that are paced to 0 percent.
    pub paused_fillers: u64,
    /// The number of executors that accept new runs.
    pub open_executors: u64,
    /// The processor time that is reserved on all executors.
    pub reserved_cpu: CpuMilli,
    /// The processor time that is free on the executors that accept new runs.
    pub free_cpu: CpuMilli,
    /// The number of executors that run tasks of one serving image only.
    pub single_image_executors: u64,
    /// The number of executors that run tasks of several serving images.
    pub mixed_image_executors: u64,
    /// The number of executors where a serving task is over its target.
    pub over_target_executors: u64,
    /// The number of running fillers.
    pub running_fillers: u64,
    /// The number of executors whose fillers add more than their serving tasks tolerate at peak load.
    pub overcommitted_executors: u64,
}

impl CellState {
    /// Returns the current load of the cell.
    pub fn load(&self, now: Instant) -> CellLoad {
        let mut load = CellLoad::default();
        for job in self.ledger.jobs().filter(|job| job.is_open()) {
            load.open_jobs += 1;
            for step_ref in job.ready_steps() {
                let tasks = job.step_tasks(step_ref);
                let waiting = tasks.filter(|(_, task)| task.status == TaskStatus::Waiting);
                let count = waiting.count() as u64;
                let step = job.step(step_ref.step);
                if step.is_filler {
                    load.waiting_fillers += count;
                } else if step.is_long_running {
                    load.waiting_serving += count;
                } else {
                    load.waiting_others += count;
                }
            }
        }
        for executor in self.executors.values() {
            load.reserved_cpu.0 += executor.used().cpu_milli.0;
            match executor.serving_image_count() {
                0 => {}
                1 => load.single_image_executors += 1,
                _ => load.mixed_image_executors += 1,
            }
            load.over_target_executors += u64::from(executor.over_target_since.is_some());
            let fillers = executor.runs().values();
            load.running_fillers += fillers.filter(|view| view.is_filler()).count() as u64;
            let is_overcommitted = executor
                .headroom
                .iter()
                .any(|headroom| headroom.at_peak_load < 0.0);
            load.overcommitted_executors += u64::from(is_overcommitted);
            let paused = executor
                .runs()
                .values()
                .filter(|view| view.pace_percent == 0);
            load.paused_fillers += paused.count() as u64;
            if self.may_place_on(executor, now) {
                load.open_executors += 1;
                load.free_cpu.0 += executor.free().cpu_milli.0;
            }
        }
        load
    }

    /// Logs the current load of the cell as a `cell-load` event.
    pub fn log_load(&self, now: Instant) {
        let load = self.load(now);
        decided!(
            Decision::CellLoad,
            open_jobs: load.open_jobs,
            waiting_serving: load.waiting_serving,
            waiting_fillers: load.waiting_fillers,
            waiting_others: load.waiting_others,
            paused_fillers: load.paused_fillers,
            open_executors: load.open_executors,
            reserved_cpu: load.reserved_cpu,
            free_cpu: load.free_cpu,
            single_image_executors: load.single_image_executors,
            mixed_image_executors: load.mixed_image_executors,
            over_target_executors: load.over_target_executors,
            running_fillers: load.running_fillers,
            overcommitted_executors: load.overcommitted_executors,
        );
    }
}
