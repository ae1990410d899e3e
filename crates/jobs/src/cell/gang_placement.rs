use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use super::CellState;
use super::planning::StepSearch;
use super::scored_executor::ScoredExecutor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::model::ExecutorId;
use crate::model::Label;
use crate::model::RunNumber;
use crate::model::ServiceId;
use crate::model::TaskId;

/// A rack with the free processors of its executors that accept runs, in thousandths of a core.
pub(super) type RackRoom = (Label, u64);

/// Placement of gangs, on one rack where they need it for full speed.
impl CellState {
    /// Places all members of a gang, or none. Prefers a single rack, the one with its data, if the
    /// gang needs it for full speed.
    pub(super) fn place_gang(
        &mut self,
        search: &StepSearch<'_>,
        tasks: &[TaskId],
        now: Instant,
    ) -> usize {
        if tasks.len() < search.step.count as usize {
            return 0;
        }
        let (preferred, others) = self.gang_racks(search, now);
        // Without enough processors on the whole rack, the search for each member is needless.
        let member_milli = search.step.reserved().cpu_milli.0;
        let needed_milli = member_milli.saturating_mul(tasks.len() as u64);
        let mut placements = racks_with_cpu(&preferred, needed_milli)
            .find_map(|rack| self.find_gang_executors(search, Some(rack), tasks, now));
        if placements.is_none() {
            let elsewhere = racks_with_cpu(&others, needed_milli).map(Some);
            placements = elsewhere
                .chain([None])
                .find_map(|rack| self.find_gang_executors(search, rack, tasks, now));
            if placements.is_none() {
                self.note_isolation_waits(tasks, now);
            }
            if self.gang_waits_for_rack(search, tasks, &preferred, placements.is_some(), now) {
                return 0;
            }
        }
        let Some(placements) = placements else {
            self.note_tasks_ahead(search, tasks.len());
            return 0;
        };
        for (task, id) in &placements {
            self.place_task(search.step, *task, id, now);
        }
        placements.len()
    }

    /// Returns the racks on which all members of a gang run at full speed, and the other racks that
    /// are better than none, each with its free processors. The one with the most is first.
    fn gang_racks(&self, search: &StepSearch<'_>, now: Instant) -> (Vec<RackRoom>, Vec<RackRoom>) {
        let step = search.step;
        let racks = self.racks_by_free_cpu(search.service, now);
        let (preferred, others) = match &step.preferred_rack {
            Some(preferred) => racks.into_iter().partition(|(rack, _)| rack == preferred),
            None => (racks, Vec::new()),
        };
        match step.same_rack {
            true => (preferred, others),
            false if step.preferred_rack.is_some() => (preferred, Vec::new()),
            false => (Vec::new(), Vec::new()),
        }
    }

    /// Finds an executor for each member of a gang, with the resources of all members reserved.
    fn find_gang_executors(
        &mut self,
        search: &StepSearch<'_>,
        rack: Option<&Label>,
        tasks: &[TaskId],
        now: Instant,
    ) -> Option<Vec<(TaskId, ExecutorId)>> {
        let search = StepSearch { rack, ..*search };
        let mut placements = Vec::new();
        for task in tasks {
            let search = StepSearch {
                isolates: self.must_isolate_now(*task, now),
                ..search
            };
            let Some(ScoredExecutor { executor: id, .. }) =
                self.score_executors(&search, now).pop()
            else {
                break;
            };
            if let Some(executor) = self.executors.get_mut(&id) {
                let run = RunNumber::default();
                let view = RunView::new(run, search.step, RunPhase::Proposed, now);
                executor.add_run(*task, view);
            }
            placements.push((*task, id));
        }
        for (task, id) in &placements {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.remove_run(*task, RunNumber::default());
            }
        }
        (placements.len() == tasks.len()).then_some(placements)
    }

    pub(super) fn service_racks(&self, service: &ServiceId) -> Vec<Label> {
        let executors = self.executors.values().map(|executor| &executor.entry);
        let racks: BTreeSet<Label> = executors
            .filter(|entry| entry.service == *service)
            .filter_map(|entry| entry.rack().cloned())
            .collect();
        racks.into_iter().collect()
    }

    /// Returns the racks of the executors that accept runs, the one with the most free processors
    /// first.
    fn racks_by_free_cpu(&self, service: &ServiceId, now: Instant) -> Vec<RackRoom> {
        let mut free_milli: BTreeMap<Label, u64> = BTreeMap::new();
        for executor in self.available_executors(service, now) {
            if let Some(rack) = executor.entry.rack() {
                *free_milli.entry(rack.clone()).or_default() += executor.free().cpu_milli.0;
            }
        }
        let mut racks: Vec<RackRoom> = free_milli.into_iter().collect();
        racks.sort_by_key(|(_, free_milli)| Reverse(*free_milli));
        racks
    }
}

/// Returns the racks with at least the given free processors, in thousandths of a core.
fn racks_with_cpu(racks: &[RackRoom], needed_milli: u64) -> impl Iterator<Item = &Label> {
    let racks = racks.iter();
    racks.filter_map(move |(rack, free_milli)| (*free_milli >= needed_milli).then_some(rack))
}
