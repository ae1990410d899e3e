use tokio::time::Instant;

use super::CellState;
use crate::evacuation::EvacuationState;
use crate::evacuation::EvacuationStatus;
use crate::evacuation::RunCounts;
use crate::evacuation::StayCause;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::model::TaskId;

/// What operators see of evacuations.
impl CellState {
    /// Returns the progress of each evacuation in force.
    pub fn evacuation_statuses(&self, now: Instant) -> Vec<EvacuationStatus> {
        let evacuations = self.operator_view.evacuations.iter();
        let statuses = evacuations.map(|(domain, requested_at)| {
            let executors = self.executors.values();
            let executors: Vec<&Executor> = executors
                .filter(|executor| {
                    executor.entry.failure_domain == *domain && self.may_hold_runs(executor, now)
                })
                .collect();
            let mut runs = RunCounts::default();
            for executor in &executors {
                for task in executor.runs().keys() {
                    self.count_run(executor, *task, &mut runs, now);
                }
            }
            let is_silent = |executor: &&&Executor| {
                let clock = executor.clock.map(|clock| clock.seen_at());
                clock.is_none_or(|seen_at| Some(seen_at) <= self.evacuations_changed_at)
            };
            let silent_executors = executors.iter().filter(is_silent).count() as u64;
            let state = if runs.total() > 0 {
                EvacuationState::Emptying
            } else if silent_executors > 0 {
                EvacuationState::Requested
            } else {
                EvacuationState::Empty
            };
            EvacuationStatus {
                domain: domain.clone(),
                state,
                requested_at,
                runs,
                executors: executors.len() as u64,
                silent_executors,
            }
        });
        statuses.collect()
    }

    /// Returns whether runs of this or a former owner may be on an executor. One that has never answered
    /// may not exist.
    fn may_hold_runs(&self, executor: &Executor, now: Instant) -> bool {
        executor.is_known() || now < self.former_leases_end
    }

    fn count_run(&self, executor: &Executor, task: TaskId, runs: &mut RunCounts, now: Instant) {
        let Some(view) = executor.run(task) else {
            return;
        };
        let Some(job) = self.ledger.job(task.job) else {
            runs.stopping += 1;
            return;
        };
        let step = job.step(task.step);
        let count = match view.phase {
            RunPhase::Stopping { .. } | RunPhase::Withdrawn => &mut runs.stopping,
            _ if step.is_long_running => &mut runs.long_running,
            _ => match self.facts_of(task, &executor.entry.id, now) {
                None => &mut runs.gang_members,
                Some((_, facts)) => match facts.stay_cause() {
                    Some(StayCause::EndsSoon) => &mut runs.ending,
                    Some(_) => &mut runs.without_checkpoint,
                    None => &mut runs.movable,
                },
            },
        };
        *count += 1;
    }
}
