use std::cmp::Reverse;
use std::collections::BTreeMap;

use dotterelhook_scheduler::placement::Proposal;
use dotterelhook_state::shard::Run;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// A baseline policy: places tasks by priority and age, each on the worker with the most free
/// processor time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeastUsed;

impl LeastUsed {
    /// Returns up to `starts_max` starts on usable workers that fit at the same time.
    pub(crate) fn propose(
        &self,
        state: &ShardState,
        usable: &dyn Fn(&WorkerId) -> bool,
        starts_max: usize,
    ) -> Vec<Proposal> {
        let workers = state.workers().iter().filter(|(id, _)| usable(id));
        let mut free: BTreeMap<&WorkerId, Resources> =
            workers.map(|(id, account)| (id, account.free())).collect();
        let mut proposals = Vec::new();
        for (run_id, run) in runs_by_priority(state) {
            for attempt in waiting_attempts(run_id, run) {
                if proposals.len() == starts_max {
                    return proposals;
                }
                let size = run.spec.settings.size;
                let Some(worker) = emptiest_fitting(&free, &size) else {
                    break;
                };
                let remaining = free[&worker].saturating_sub(&size);
                free.insert(worker, remaining);
                proposals.push(Proposal {
                    attempt,
                    worker: worker.clone(),
                    size,
                });
            }
        }
        proposals
    }
}

fn runs_by_priority(state: &ShardState) -> Vec<(&RunId, &Run)> {
    let active = state
        .runs()
        .iter()
        .filter(|(_, run)| run.status == RunStatus::Active);
    let mut runs: Vec<(&RunId, &Run)> = active.collect();
    runs.sort_by_key(|(_, run)| (Reverse(run.spec.settings.priority), run.offset));
    runs
}

fn waiting_attempts<'a>(id: &'a RunId, run: &'a Run) -> impl Iterator<Item = AttemptId> + 'a {
    run.tasks
        .iter()
        .enumerate()
        .filter_map(move |(index, task)| match task {
            TaskState::Waiting { attempts, .. } => Some(AttemptId {
                task: TaskId {
                    run: id.clone(),
                    index: index as u32,
                },
                number: attempts + 1,
            }),
            _ => None,
        })
}

fn emptiest_fitting<'a>(
    free: &BTreeMap<&'a WorkerId, Resources>,
    size: &Resources,
) -> Option<&'a WorkerId> {
    let fitting = free.iter().filter(|(_, free)| size.fits_in(free));
    fitting
        .max_by_key(|(_, free)| free.cpu_milli)
        .map(|(worker, _)| *worker)
}
