use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::indexed_placer::IndexedPlacer;
use super::overlay::Overlay;
use super::queued_run::QueuedRun;
use crate::placement::JobKey;
use crate::placement::LongWait;
use crate::placement::NeverRunnable;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Proposal;
use crate::placement::ResourceKind;
use crate::placement::Shortfall;
use crate::placement::WaitReason;

const LINES_MAX: usize = 100;
const LONG_WAIT_STARTS_DIVISOR: usize = 10;

/// A run's place in one round.
struct Ticket {
    id: RunId,
    size: Resources,
    priority: Priority,
    waited_ms: u64,
    started: usize,
    next_task: u32,
    reason: WaitReason,
    is_never_runnable: bool,
}

/// The teams of one level, each with its runs, oldest first.
type Level = BTreeMap<TeamName, VecDeque<usize>>;

/// One round of placement; the index is as before once it has run.
pub(super) struct Round<'a, 'c> {
    placer: &'a mut IndexedPlacer,
    context: &'a PlacementContext<'c>,
    tickets: Vec<Ticket>,
    outcome: Placement,
    started: Vec<(TeamName, Resources)>,
    overlay: Overlay,
    has_held: bool,
}

impl<'a, 'c> Round<'a, 'c> {
    /// Reads which runs wait.
    pub(super) fn new(placer: &'a mut IndexedPlacer, context: &'a PlacementContext<'c>) -> Self {
        let mut round = Self {
            placer,
            context,
            tickets: Vec::new(),
            outcome: Placement::default(),
            started: Vec::new(),
            overlay: Overlay::default(),
            has_held: false,
        };
        round.tickets = round.read_tickets();
        round
    }

    /// Chooses the starts.
    pub(super) fn run(mut self) -> Placement {
        self.name_never_runnable();
        self.place_level(|ticket| ticket.priority == Priority::Urgent);
        self.list_shortfalls();
        self.place_long_waiting();
        for priority in [Priority::Normal, Priority::Low] {
            self.place_level(|ticket| ticket.priority == priority);
        }
        self.list_long_waits();
        self.restore();
        self.outcome
    }

    fn read_tickets(&self) -> Vec<Ticket> {
        let runs = self.placer.waiting.iter();
        runs.map(|(_, id)| self.ticket(&self.placer.runs[id]))
            .collect()
    }

    fn ticket(&self, run: &QueuedRun) -> Ticket {
        let now_ms = self.context.now_unix_ms;
        Ticket {
            id: run.id.clone(),
            size: self.size(run),
            priority: run.priority,
            waited_ms: now_ms.saturating_sub(run.waiting_since_unix_ms),
            started: 0,
            next_task: 0,
            reason: WaitReason::BehindOthers,
            is_never_runnable: false,
        }
    }

    /// Returns the larger of declared and observed size, as far as any worker can hold it.
    fn size(&self, run: &QueuedRun) -> Resources {
        let advised = self.context.sizes.size(&run.job, &run.declared);
        if self.placer.free.can_ever_fit(&advised) {
            advised
        } else {
            run.declared
        }
    }

    fn name_never_runnable(&mut self) {
        let free = &self.placer.free;
        let knows_workers = self.context.has_all_workers && !free.is_empty();
        for ticket in &mut self.tickets {
            let team = &self.placer.runs[&ticket.id].job.team;
            let quota = self.context.quotas.limit(team);
            let lacking_quota =
                quota.and_then(|quota| ResourceKind::first_lacking(&ticket.size, &quota));
            let is_too_large = !free.can_ever_fit(&ticket.size);
            if lacking_quota.is_none() && !is_too_large {
                continue;
            }
            ticket.is_never_runnable = true;
            ticket.reason = WaitReason::NeverRunnable;
            let is_quota = lacking_quota.is_some();
            let largest = match quota {
                Some(quota) if is_quota => quota,
                _ => free.closest_capacity(&ticket.size),
            };
            let resource = ResourceKind::first_lacking(&ticket.size, &largest);
            let has_room = self.outcome.never_runnable.len() < LINES_MAX;
            if let Some(resource) = resource
                && has_room
                && (is_quota || knows_workers)
            {
                self.outcome.never_runnable.push(NeverRunnable {
                    run: ticket.id.clone(),
                    size: ticket.size,
                    resource,
                    largest,
                    is_quota,
                });
            }
        }
    }

    /// Places tasks of one level until none fits; the team with the smallest share is next.
    fn place_level(&mut self, is_member: impl Fn(&Ticket) -> bool) {
        let mut level = self.level(is_member);
        let mut order: BTreeSet<(u64, TeamName)> = BTreeSet::new();
        for team in level.keys() {
            order.insert((self.share(team), team.clone()));
        }
        while let Some((_, team)) = order.pop_first() {
            if self.outcome.starts.len() >= self.context.starts_max {
                return;
            }
            let runs = level.entry(team.clone()).or_default();
            let Some(&index) = runs.front() else {
                continue;
            };
            if !self.place_next(index) {
                runs.pop_front();
            }
            order.insert((self.share(&team), team));
        }
    }

    fn level(&self, is_member: impl Fn(&Ticket) -> bool) -> Level {
        let mut level = Level::new();
        for (index, ticket) in self.tickets.iter().enumerate() {
            if is_member(ticket) && !ticket.is_never_runnable {
                let team = &self.placer.runs[&ticket.id].job.team;
                match level.get_mut(team) {
                    Some(runs) => runs.push_back(index),
                    None => {
                        level.insert(team.clone(), VecDeque::from([index]));
                    }
                }
            }
        }
        level
    }

    fn share(&self, team: &TeamName) -> u64 {
        let quota = self.context.quotas.limit(team);
        let whole = quota.as_ref().unwrap_or(self.placer.free.total());
        self.placer.usage.share_ppm(team, whole)
    }

    /// Places one task of each run that has waited long; holds the roomiest worker for the
    /// first one that does not fit.
    fn place_long_waiting(&mut self) {
        let limit = (self.context.starts_max / LONG_WAIT_STARTS_DIVISOR).max(1);
        let mut started = 0;
        for index in 0..self.tickets.len() {
            let ticket = &self.tickets[index];
            let has_waited = ticket.waited_ms >= self.placer.long_wait_ms;
            let is_due = has_waited && ticket.started == 0 && !ticket.is_never_runnable;
            if !is_due || ticket.priority == Priority::Urgent {
                continue;
            }
            let is_full = self.outcome.starts.len() >= self.context.starts_max;
            if is_full || started == limit {
                return;
            }
            if self.place_next(index) {
                started += 1;
            } else if self.tickets[index].reason == WaitReason::NoRoom && !self.has_held {
                self.hold_for(self.tickets[index].size);
            }
        }
    }

    fn hold_for(&mut self, size: Resources) {
        if let Some(worker) = self.placer.free.best_when_empty(size).cloned() {
            self.has_held = true;
            self.overlay.take_out(&mut self.placer.free, worker);
        }
    }

    /// Starts the run's next waiting task and returns whether that was possible.
    fn place_next(&mut self, index: usize) -> bool {
        let ticket = &self.tickets[index];
        let run = &self.placer.runs[&ticket.id];
        let Some((&task, &attempts)) = run.waiting.range(ticket.next_task..).next() else {
            return false;
        };
        let (size, job) = (ticket.size, run.job.clone());
        let attempt = AttemptId {
            task: TaskId {
                run: run.id.clone(),
                index: task,
            },
            number: attempts + 1,
        };
        match self.find_worker(index, &job, size) {
            Ok(worker) => {
                self.placer.usage.add(&job.team, &size);
                self.started.push((job.team, size));
                self.overlay.take(&mut self.placer.free, &worker, &size);
                self.tickets[index].next_task = task + 1;
                self.tickets[index].started += 1;
                self.outcome.starts.push(Proposal {
                    attempt,
                    worker: WorkerId::clone(&worker),
                    size,
                });
                true
            }
            Err(reason) => {
                self.tickets[index].reason = reason;
                false
            }
        }
    }

    fn find_worker(
        &mut self,
        index: usize,
        job: &JobKey,
        size: Resources,
    ) -> Result<Arc<WorkerId>, WaitReason> {
        let limit = self.context.quotas.limit(&job.team);
        if !self.placer.usage.allows(&job.team, &size, limit) {
            return Err(WaitReason::Quota);
        }
        let ticket = &self.tickets[index];
        let takes_any =
            ticket.priority == Priority::Urgent || ticket.waited_ms >= self.placer.long_wait_ms;
        self.overlay
            .find(&mut self.placer.free, self.context, job, size, takes_any)
    }

    fn list_shortfalls(&mut self) {
        for ticket in &self.tickets {
            let is_short = ticket.priority == Priority::Urgent
                && matches!(ticket.reason, WaitReason::NoRoom | WaitReason::Interference);
            if is_short && self.outcome.shortfalls.len() < LINES_MAX {
                let waiting = self.placer.runs[&ticket.id].waiting.len();
                self.outcome.shortfalls.push(Shortfall {
                    run: ticket.id.clone(),
                    size: ticket.size,
                    tasks: waiting - ticket.started,
                });
            }
        }
    }

    fn list_long_waits(&mut self) {
        for ticket in &self.tickets {
            if ticket.started > 0 || ticket.waited_ms < self.placer.long_wait_ms {
                continue;
            }
            self.outcome.long_wait_count += 1;
            if self.outcome.long_waits.len() < LINES_MAX {
                self.outcome.long_waits.push(LongWait {
                    run: ticket.id.clone(),
                    waited_ms: ticket.waited_ms,
                    reason: ticket.reason,
                });
            }
        }
    }

    fn restore(&mut self) {
        for (team, size) in &self.started {
            self.placer.usage.remove(team, size);
        }
        self.overlay.restore(&mut self.placer.free);
    }
}
