use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::model::JobId;
use crate::model::ServiceId;

/// How long a job without a placed task waits until one of its tasks may run where it interferes with
/// serving tasks. The requirements allow 3 s while less than half of a pool is in use.
const IDLE_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// The same while more of the pool is in use: harm would spread, and other jobs end soon.
const IDLE_WAIT_IN_SHORTAGE_MAX: Duration = Duration::from_millis(6_000);

/// The part of a pool's processors in use from which capacity counts as short.
const SHORTAGE_USE: f64 = 0.6;

/// How long work has waited for a place.
impl CellState {
    /// Updates since when long-running steps have had waiting tasks, and since when jobs with ready
    /// steps have had no placed task.
    pub(super) fn update_wait_times(&mut self, now: Instant) {
        let ledger = &self.ledger;
        let mut waiting_since = BTreeMap::new();
        for job in ledger.jobs().filter(|job| job.is_open()) {
            let long_running = job
                .ready_steps()
                .filter(|step_ref| job.step(step_ref.step).is_long_running);
            for step_ref in long_running {
                let key = (job.id(), step_ref);
                let since = self.waiting_since.get(&key).copied().unwrap_or(now);
                waiting_since.insert(key, since);
            }
        }
        self.waiting_since = waiting_since;
        self.idle_since.retain(|id, _| {
            let job = ledger.job(*id);
            job.is_some_and(|job| job.is_open() && !job.has_placed_tasks())
        });
        for job in ledger.jobs().filter(|job| job.is_open()) {
            if !job.has_placed_tasks() && job.ready_steps().next().is_some() {
                self.idle_since.entry(job.id()).or_insert(now);
            }
        }
    }

    pub(super) fn has_been_idle(&self, id: JobId, service: &ServiceId, now: Instant) -> bool {
        let Some(since) = self.idle_since.get(&id) else {
            return false;
        };
        let idle = now.duration_since(*since);
        idle >= IDLE_WAIT_IN_SHORTAGE_MAX
            || idle >= IDLE_WAIT_MAX && self.cpu_use(service) < SHORTAGE_USE
    }

    /// Returns the part of a pool's processors that is reserved, 0 to 1. Executors that are only listed
    /// don't count.
    fn cpu_use(&self, service: &ServiceId) -> f64 {
        let executors = self.executors.values();
        let pool = executors
            .filter(|executor| executor.entry.service == *service && executor.has_answered());
        let (used, total) = pool.fold((0_u64, 0_u64), |(used, total), executor| {
            let capacity_milli = executor.entry.capacity.cpu_milli.0;
            let used_milli = executor.used().cpu_milli.0;
            (
                used.saturating_add(used_milli),
                total.saturating_add(capacity_milli),
            )
        });
        used as f64 / total.max(1) as f64
    }
}
