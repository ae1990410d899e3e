use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::class_progress::ClassProgress;
use super::indexed_placer::IndexedPlacer;
use super::tentative_changes::TentativeChanges;
use crate::placement::LongWait;
use crate::placement::NeverRunnable;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Proposal;
use crate::placement::Shortfall;
use crate::placement::WaitReason;

/// Maximum length of each list of runs in a round's result.
const LISTED_RUNS_MAX: usize = 100;
/// One start in this many, and at least one in each round, may go to runs that have waited long.
const LONG_WAIT_STARTS_DIVISOR: usize = 10;

/// Progress of one run in a round.
#[derive(Clone, Copy, Default)]
struct RunProgress {
    next_task: u32,
    started: usize,
}

/// One placement round. Afterwards the index is unchanged, except that unusable and probed workers
/// are excluded.
///
/// The cost grows with the number of classes and starts, not with the number of waiting runs.
pub(super) struct Round<'a, 'c> {
    placer: &'a mut IndexedPlacer,
    context: &'a PlacementContext<'c>,
    classes: Vec<ClassProgress>,
    progress: BTreeMap<RunId, RunProgress>,
    started: Vec<(TeamName, Resources)>,
    changes: TentativeChanges,
    outcome: Placement,
    has_reserved_worker: bool,
}

impl<'a, 'c> Round<'a, 'c> {
    /// Starts a round over all classes with waiting runs.
    pub(super) fn new(placer: &'a mut IndexedPlacer, context: &'a PlacementContext<'c>) -> Self {
        let keys = placer.classes.keys();
        let classes = keys.map(|key| ClassProgress::new(placer, key, context));
        Self {
            classes: classes.collect(),
            placer,
            context,
            progress: BTreeMap::new(),
            started: Vec::new(),
            changes: TentativeChanges::default(),
            outcome: Placement::default(),
            has_reserved_worker: false,
        }
    }

    /// Chooses the starts and collects the reports.
    pub(super) fn run(mut self) -> Placement {
        self.report_never_runnable();
        self.place_priority(Priority::Urgent);
        self.report_shortfalls();
        self.place_long_waiting();
        self.place_priority(Priority::Normal);
        self.place_priority(Priority::Low);
        self.report_long_waits();
        self.roll_back();
        self.outcome
    }

    fn report_never_runnable(&mut self) {
        let mut reports: Vec<(Offset, NeverRunnable)> = Vec::new();
        for class in &mut self.classes {
            let runs = &self.placer.classes[&class.key].by_submission;
            for (offset, run) in runs.iter().take(LISTED_RUNS_MAX) {
                match class.block_if_never_runnable(self.placer, self.context, run) {
                    Some(report) => reports.push((*offset, report)),
                    None => break,
                }
            }
        }
        reports.sort_by_key(|(offset, _)| *offset);
        reports.truncate(LISTED_RUNS_MAX);
        self.outcome.never_runnable = reports.into_iter().map(|(_, report)| report).collect();
    }

    fn is_full(&self) -> bool {
        self.outcome.starts.len() >= self.context.starts_max
    }

    /// Places tasks of one priority until no more fits.
    ///
    /// The next task belongs to the team with the smallest dominant share.
    fn place_priority(&mut self, priority: Priority) {
        let mut teams: BTreeMap<TeamName, Vec<usize>> = BTreeMap::new();
        for (index, class) in self.classes.iter().enumerate() {
            if class.key.priority == priority {
                let team = class.key.job.team.clone();
                teams.entry(team).or_default().push(index);
            }
        }
        let mut order: BTreeSet<(u64, TeamName)> = BTreeSet::new();
        for team in teams.keys() {
            order.insert((self.dominant_share_ppm(team), team.clone()));
        }
        while let Some((_, team)) = order.pop_first() {
            if self.is_full() {
                return;
            }
            let Some((class, run)) = self.oldest_run(&teams[&team]) else {
                continue;
            };
            self.place_next(class, &run);
            order.insert((self.dominant_share_ppm(&team), team));
        }
    }

    /// Returns the oldest run with a task left to place, among classes that are not blocked.
    fn oldest_run(&mut self, classes: &[usize]) -> Option<(usize, RunId)> {
        for index in classes {
            self.advance_cursor(*index);
        }
        let unblocked = classes
            .iter()
            .filter(|i| self.classes[**i].blocked_by.is_none());
        let heads =
            unblocked.filter_map(|i| self.classes[*i].cursor.as_ref().map(|head| (head, *i)));
        let ((_, run), class) = heads.min()?;
        Some((class, run.clone()))
    }

    /// Moves a class's cursor past runs without a task left to place.
    fn advance_cursor(&mut self, index: usize) {
        let class = &mut self.classes[index];
        while let Some(head) = &class.cursor {
            let progress = self.progress.get(&head.1).copied().unwrap_or_default();
            let waiting = &self.placer.runs[&head.1].waiting;
            if waiting.range(progress.next_task..).next().is_some() {
                return;
            }
            let runs = &self.placer.classes[&class.key].by_submission;
            let mut rest = runs.range(head.clone()..);
            class.cursor = rest.nth(1).cloned();
        }
    }

    fn dominant_share_ppm(&self, team: &TeamName) -> u64 {
        let quota = self.context.quotas.limit(team);
        let total = quota.as_ref().unwrap_or(self.placer.free.total());
        self.placer.usage.dominant_share_ppm(team, total)
    }

    /// Places one task of each run that has waited long, longest wait first.
    ///
    /// The first task that does not fit gets the roomiest worker reserved.
    fn place_long_waiting(&mut self) {
        let limit = (self.context.starts_max / LONG_WAIT_STARTS_DIVISOR).max(1);
        let mut due = BTreeSet::new();
        for (index, class) in self.classes.iter().enumerate() {
            if !class.is_urgent() {
                let runs =
                    self.placer.classes[&class.key].waiting_since(self.long_wait_cutoff_unix_ms());
                due.extend(
                    runs.take(limit)
                        .map(|(since, _, run)| (*since, run.clone(), index)),
                );
            }
        }
        let mut started = 0;
        for (_, run, index) in due {
            if self.is_full() || started == limit {
                return;
            }
            if self.classes[index].blocked_by.is_some() {
                continue;
            }
            self.place_next(index, &run);
            match self.classes[index].blocked_by {
                None => started += 1,
                Some(WaitReason::NoRoom) if !self.has_reserved_worker => self.reserve_for(index),
                Some(_) => {}
            }
        }
    }

    fn long_wait_cutoff_unix_ms(&self) -> u64 {
        let now_unix_ms = self.context.now_unix_ms;
        now_unix_ms.saturating_sub(self.placer.long_wait_ms)
    }

    fn has_waited_long(&self, run: &RunId) -> bool {
        self.placer.runs[run].waiting_since_unix_ms <= self.long_wait_cutoff_unix_ms()
    }

    /// Reserves the roomiest usable worker for the class, if the capacity of any fits its tasks.
    fn reserve_for(&mut self, class: usize) {
        let size = self.classes[class].size;
        let mut capable = self.placer.free.workers_with_capacity(size);
        let roomiest = capable
            .find(|worker| (self.context.is_usable)(worker))
            .cloned();
        drop(capable);
        if let Some(worker) = roomiest {
            self.has_reserved_worker = true;
            self.changes.reserve_worker(&mut self.placer.free, worker);
        }
    }

    /// Places the run's next waiting task, or blocks its class.
    fn place_next(&mut self, index: usize, run: &RunId) {
        let progress = self.progress.get(run).copied().unwrap_or_default();
        let waiting = &self.placer.runs[run].waiting;
        let Some((&task, &attempts)) = waiting.range(progress.next_task..).next() else {
            return;
        };
        match self.find_worker(index, run) {
            Ok(worker) => {
                let attempt = AttemptId {
                    task: TaskId {
                        run: run.clone(),
                        index: task,
                    },
                    number: attempts + 1,
                };
                let progress = RunProgress {
                    next_task: task + 1,
                    started: progress.started + 1,
                };
                self.progress.insert(run.clone(), progress);
                self.add_start(index, attempt, &worker);
            }
            Err(reason) => self.classes[index].blocked_by = Some(reason),
        }
    }

    fn find_worker(&mut self, index: usize, run: &RunId) -> Result<Arc<WorkerId>, WaitReason> {
        let class = &self.classes[index];
        let job = &class.key.job;
        let limit = self.context.quotas.limit(&job.team);
        if !self.placer.usage.allows(&job.team, &class.size, limit) {
            return Err(WaitReason::Quota);
        }
        let allows_interference = class.is_urgent() || self.has_waited_long(run);
        let free = &mut self.placer.free;
        self.changes
            .find_worker(free, self.context, job, class.size, allows_interference)
    }

    fn add_start(&mut self, index: usize, attempt: AttemptId, worker: &Arc<WorkerId>) {
        let class = &self.classes[index];
        let team = class.key.job.team.clone();
        self.placer.usage.add(&team, &class.size);
        self.changes
            .reserve_resources(&mut self.placer.free, worker, &class.size);
        self.started.push((team, class.size));
        if (self.context.is_quarantined)(worker) {
            let free = &mut self.placer.free;
            self.changes.exclude(free, Arc::clone(worker));
        }
        self.outcome.starts.push(Proposal {
            attempt,
            worker: WorkerId::clone(worker),
            size: class.size,
        });
    }

    fn report_shortfalls(&mut self) {
        for class in &self.classes {
            if !class.is_urgent() || class.blocked_by != Some(WaitReason::NoRoom) {
                continue;
            }
            for (_, run) in &self.placer.classes[&class.key].by_submission {
                if self.outcome.shortfalls.len() == LISTED_RUNS_MAX {
                    return;
                }
                let started = self.progress.get(run).map_or(0, |p| p.started);
                let tasks = self.placer.runs[run].waiting.len() - started;
                if tasks > 0 {
                    self.outcome.shortfalls.push(Shortfall {
                        run: run.clone(),
                        size: class.size,
                        tasks,
                    });
                }
            }
        }
    }

    fn report_long_waits(&mut self) {
        let mut waits = Vec::new();
        let mut count = 0;
        let since_unix_ms = self.long_wait_cutoff_unix_ms();
        for class in &self.classes {
            let runs = self.placer.classes[&class.key].waiting_since(since_unix_ms);
            let without_start = runs.filter(|(_, _, run)| !self.progress.contains_key(run));
            for (position, (since, _, run)) in without_start.enumerate() {
                count += 1;
                if position < LISTED_RUNS_MAX {
                    waits.push(LongWait {
                        run: run.clone(),
                        waited_ms: self.context.now_unix_ms - since,
                        reason: class.blocked_by.unwrap_or(WaitReason::BehindOthers),
                    });
                }
            }
        }
        waits.sort_by(|a, b| b.waited_ms.cmp(&a.waited_ms).then(a.run.cmp(&b.run)));
        waits.truncate(LISTED_RUNS_MAX);
        self.outcome.long_waits = waits;
        self.outcome.long_wait_count = count;
    }

    fn roll_back(&mut self) {
        for (team, size) in &self.started {
            self.placer.usage.remove(team, size);
        }
        let excluded = self.changes.roll_back(&mut self.placer.free);
        self.placer.excluded.extend(excluded);
    }
}
