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

use super::class_round::ClassRound;
use super::indexed_placer::IndexedPlacer;
use super::overlay::Overlay;
use crate::placement::LongWait;
use crate::placement::NeverRunnable;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Proposal;
use crate::placement::Shortfall;
use crate::placement::WaitReason;

const LINES_MAX: usize = 100;
const LONG_WAIT_STARTS_DIVISOR: usize = 10;

/// How far a run has come in one round.
#[derive(Clone, Copy, Default)]
struct Progress {
    next_task: u32,
    started: usize,
}

/// One round of placement; once it has run, the index is as before, but for unusable workers.
///
/// Its cost grows with the classes and the starts, not with the runs that wait.
pub(super) struct Round<'a, 'c> {
    placer: &'a mut IndexedPlacer,
    context: &'a PlacementContext<'c>,
    classes: Vec<ClassRound>,
    progress: BTreeMap<RunId, Progress>,
    started: Vec<(TeamName, Resources)>,
    overlay: Overlay,
    outcome: Placement,
    has_held: bool,
}

impl<'a, 'c> Round<'a, 'c> {
    /// Reads which classes wait.
    pub(super) fn new(placer: &'a mut IndexedPlacer, context: &'a PlacementContext<'c>) -> Self {
        let keys = placer.classes.keys();
        let classes = keys.map(|key| ClassRound::new(placer, key, context));
        Self {
            classes: classes.collect(),
            placer,
            context,
            progress: BTreeMap::new(),
            started: Vec::new(),
            overlay: Overlay::default(),
            outcome: Placement::default(),
            has_held: false,
        }
    }

    /// Chooses the starts.
    pub(super) fn run(mut self) -> Placement {
        self.name_never_runnable();
        self.place_level(Priority::Urgent);
        self.list_shortfalls();
        self.place_long_waiting();
        self.place_level(Priority::Normal);
        self.place_level(Priority::Low);
        self.list_long_waits();
        self.restore();
        self.outcome
    }

    fn name_never_runnable(&mut self) {
        let mut named: Vec<(Offset, NeverRunnable)> = Vec::new();
        for class in &mut self.classes {
            let runs = &self.placer.classes[&class.key].by_age;
            for (offset, run) in runs.iter().take(LINES_MAX) {
                match class.block_never_runnable(self.placer, self.context, run) {
                    Some(line) => named.push((*offset, line)),
                    None => break,
                }
            }
        }
        named.sort_by_key(|(offset, _)| *offset);
        named.truncate(LINES_MAX);
        self.outcome.never_runnable = named.into_iter().map(|(_, line)| line).collect();
    }

    fn is_full(&self) -> bool {
        self.outcome.starts.len() >= self.context.starts_max
    }

    /// Places tasks of one priority until none fits; the team with the smallest share is next.
    fn place_level(&mut self, priority: Priority) {
        let mut teams: BTreeMap<TeamName, Vec<usize>> = BTreeMap::new();
        for (index, class) in self.classes.iter().enumerate() {
            if class.key.priority == priority {
                let team = class.key.job.team.clone();
                teams.entry(team).or_default().push(index);
            }
        }
        let mut order: BTreeSet<(u64, TeamName)> = BTreeSet::new();
        for team in teams.keys() {
            order.insert((self.share(team), team.clone()));
        }
        while let Some((_, team)) = order.pop_first() {
            if self.is_full() {
                return;
            }
            let Some((class, run)) = self.oldest(&teams[&team]) else {
                continue;
            };
            self.place_next(class, &run);
            order.insert((self.share(&team), team));
        }
    }

    /// Returns the oldest run with a task left among classes that are not blocked.
    fn oldest(&mut self, classes: &[usize]) -> Option<(usize, RunId)> {
        for index in classes {
            self.advance(*index);
        }
        let open = classes
            .iter()
            .filter(|i| self.classes[**i].blocked.is_none());
        let heads = open.filter_map(|i| self.classes[*i].cursor.as_ref().map(|head| (head, *i)));
        let ((_, run), class) = heads.min()?;
        Some((class, run.clone()))
    }

    /// Moves a class's cursor past runs without a task left.
    fn advance(&mut self, index: usize) {
        let class = &mut self.classes[index];
        while let Some(head) = &class.cursor {
            let progress = self.progress.get(&head.1).copied().unwrap_or_default();
            let waiting = &self.placer.runs[&head.1].waiting;
            if waiting.range(progress.next_task..).next().is_some() {
                return;
            }
            let runs = &self.placer.classes[&class.key].by_age;
            let mut rest = runs.range(head.clone()..);
            class.cursor = rest.nth(1).cloned();
        }
    }

    fn share(&self, team: &TeamName) -> u64 {
        let quota = self.context.quotas.limit(team);
        let whole = quota.as_ref().unwrap_or(self.placer.free.total());
        self.placer.usage.dominant_share_ppm(team, whole)
    }

    /// Places one task of each run that has waited long, longest first; holds the roomiest
    /// worker for the first one that does not fit.
    fn place_long_waiting(&mut self) {
        let limit = (self.context.starts_max / LONG_WAIT_STARTS_DIVISOR).max(1);
        let mut due = BTreeSet::new();
        for (index, class) in self.classes.iter().enumerate() {
            if !class.is_urgent() {
                let runs = self.placer.classes[&class.key].waiting_since(self.long_since_unix_ms());
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
            if self.classes[index].blocked.is_some() {
                continue;
            }
            self.place_next(index, &run);
            match self.classes[index].blocked {
                None => started += 1,
                Some(WaitReason::NoRoom) if !self.has_held => self.hold_for(index),
                Some(_) => {}
            }
        }
    }

    fn long_since_unix_ms(&self) -> u64 {
        let now_unix_ms = self.context.now_unix_ms;
        now_unix_ms.saturating_sub(self.placer.long_wait_ms)
    }

    fn has_waited_long(&self, run: &RunId) -> bool {
        self.placer.runs[run].waiting_since_unix_ms <= self.long_since_unix_ms()
    }

    fn hold_for(&mut self, class: usize) {
        let size = self.classes[class].size;
        if let Some(worker) = self.placer.free.best_when_empty(size).cloned() {
            self.has_held = true;
            self.overlay.hold(&mut self.placer.free, worker);
        }
    }

    /// Starts the run's next waiting task, or blocks its class.
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
                let progress = Progress {
                    next_task: task + 1,
                    started: progress.started + 1,
                };
                self.progress.insert(run.clone(), progress);
                self.start(index, attempt, &worker);
            }
            Err(reason) => self.classes[index].blocked = Some(reason),
        }
    }

    fn find_worker(&mut self, index: usize, run: &RunId) -> Result<Arc<WorkerId>, WaitReason> {
        let class = &self.classes[index];
        let job = &class.key.job;
        let limit = self.context.quotas.limit(&job.team);
        if !self.placer.usage.allows(&job.team, &class.size, limit) {
            return Err(WaitReason::Quota);
        }
        let takes_any = class.is_urgent() || self.has_waited_long(run);
        let free = &mut self.placer.free;
        self.overlay
            .find(free, self.context, job, class.size, takes_any)
    }

    fn start(&mut self, index: usize, attempt: AttemptId, worker: &Arc<WorkerId>) {
        let class = &self.classes[index];
        let team = class.key.job.team.clone();
        self.placer.usage.add(&team, &class.size);
        self.overlay
            .take(&mut self.placer.free, worker, &class.size);
        self.started.push((team, class.size));
        if (self.context.is_probed)(worker) {
            let free = &mut self.placer.free;
            self.overlay.take_out(free, Arc::clone(worker));
        }
        self.outcome.starts.push(Proposal {
            attempt,
            worker: WorkerId::clone(worker),
            size: class.size,
        });
    }

    fn list_shortfalls(&mut self) {
        for class in &self.classes {
            if !class.is_urgent() || class.blocked != Some(WaitReason::NoRoom) {
                continue;
            }
            for (_, run) in &self.placer.classes[&class.key].by_age {
                if self.outcome.shortfalls.len() == LINES_MAX {
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

    fn list_long_waits(&mut self) {
        let mut lines = Vec::new();
        let mut count = 0;
        let since_unix_ms = self.long_since_unix_ms();
        for class in &self.classes {
            let runs = self.placer.classes[&class.key].waiting_since(since_unix_ms);
            let without_start = runs.filter(|(_, _, run)| !self.progress.contains_key(run));
            for (position, (since, _, run)) in without_start.enumerate() {
                count += 1;
                if position < LINES_MAX {
                    lines.push(LongWait {
                        run: run.clone(),
                        waited_ms: self.context.now_unix_ms - since,
                        reason: class.blocked.unwrap_or(WaitReason::BehindOthers),
                    });
                }
            }
        }
        lines.sort_by(|a, b| b.waited_ms.cmp(&a.waited_ms).then(a.run.cmp(&b.run)));
        lines.truncate(LINES_MAX);
        self.outcome.long_waits = lines;
        self.outcome.long_wait_count = count;
    }

    fn restore(&mut self) {
        for (team, size) in &self.started {
            self.placer.usage.remove(team, size);
        }
        let unusable = self.overlay.restore(&mut self.placer.free);
        self.placer.unusable.extend(unusable);
    }
}
