use std::collections::BTreeMap;

use tokio::time::Instant;

use super::CellState;
use super::planning::WaitingStep;
use crate::ledger::StepRef;
use crate::ledger::TaskStatus;
use crate::model::JobId;
use crate::model::Label;
use crate::policy::WaitPolicy;

/// Limits the steps whose gains from one rack are compared, first in the order first.
const BIDS_MAX: usize = 64;
/// Limits the steps that go ahead of another one on the rack that both prefer.
const RIVALS_MAX: usize = 8;

/// A turn of a step on the rack that it prefers.
#[derive(Clone, Debug)]
pub(super) struct RackTurn {
    pub(super) step: WaitingStep,
    pub(super) rack: Label,
    pub(super) tasks_max: usize,
}

/// What a rack is worth to a step that prefers it.
struct RackBid {
    step: WaitingStep,
    /// The gain per unit of capacity and time that the tasks take there.
    gain: f64,
    cpu_milli: u64,
    /// The number of waiting tasks.
    count: usize,
}

/// The order in which a rack serves the steps that prefer it.
impl CellState {
    /// Returns for each step the steps behind it in the order that gain more from the rack that both
    /// prefer, for the capacity and time that they take there. They are of the same class and
    /// priority.
    ///
    /// They are placed on that rack first, with no more capacity than the step could take there, so
    /// that other steps in between lose nothing.
    pub(super) fn rack_turns(
        &self,
        waiting: &[WaitingStep],
        now: Instant,
    ) -> BTreeMap<(JobId, StepRef), Vec<RackTurn>> {
        let mut turns = BTreeMap::new();
        let settings = self.settings.placement_wait;
        let Some(settings) = settings.filter(|wait| wait.policy == WaitPolicy::Decided) else {
            return turns;
        };
        let mut groups: BTreeMap<(u32, u32, &Label), Vec<RackBid>> = BTreeMap::new();
        for entry in waiting {
            let Some(job) = self.ledger.job(entry.job) else {
                continue;
            };
            let step = job.step(entry.step_ref.step);
            let Some(rack) = &step.preferred_rack else {
                continue;
            };
            if step.is_long_running || step.is_gang {
                continue;
            }
            let inputs = self.wait_inputs(job, entry.step_ref, settings, now, now);
            let tasks = job.step_tasks(entry.step_ref);
            let count = tasks.filter(|(_, task)| task.status == TaskStatus::Waiting);
            let count = count.count().max(1);
            let cpu_milli = step.need.cpu_milli.0.max(1);
            let taken_ms = count as f64 * step.estimate_ms.max(1) as f64;
            let bid = RackBid {
                step: *entry,
                gain: inputs.value_of_placement() / (taken_ms * cpu_milli as f64),
                cpu_milli,
                count,
            };
            let group = groups.entry((entry.rank.class, entry.rank.priority, rack));
            let group = group.or_default();
            if group.len() < BIDS_MAX {
                group.push(bid);
            }
        }
        for ((_, _, rack), bids) in groups {
            for (index, bid) in bids.iter().enumerate() {
                let behind = bids[index + 1..].iter();
                let mut rivals: Vec<&RackBid> =
                    behind.filter(|rival| rival.gain > bid.gain).collect();
                rivals.sort_by(|a, b| b.gain.total_cmp(&a.gain));
                let turns_before = rivals.into_iter().take(RIVALS_MAX).map(|rival| RackTurn {
                    step: rival.step,
                    rack: rack.clone(),
                    tasks_max: (bid.cpu_milli.saturating_mul(bid.count as u64) / rival.cpu_milli)
                        as usize,
                });
                turns.insert((bid.step.job, bid.step.step_ref), turns_before.collect());
            }
        }
        turns
    }
}
