use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::pending_replies::Reply;
use super::pending_replies::RequestKind;
use super::shard_task::ShardTask;
use crate::quota::QuotaView;
use crate::quota::ShardQuotas;
use crate::relocation::RoomRequest;
use crate::run_commands::RunCommandError;
use crate::run_commands::ShardCommand;

const QUEUED_REQUESTS_MAX: usize = 20_000;
const ADMISSION_LOG_SILENCE_MAX_MS: u64 = 15_000;

impl ShardTask {
    pub(super) fn handle_command(&mut self, command: ShardCommand) {
        match command {
            ShardCommand::ListRuns { reply } => {
                let _ = reply.send(self.list_runs());
            }
            ShardCommand::CountRoom { request, reply } => {
                let _ = reply.send(self.count_room(&request));
            }
            ShardCommand::Adopt { moved, reply } => {
                let run = moved.run.clone();
                let event = ShardEvent::Adopt { moved };
                self.enqueue_request(RequestKind::Adopt, run, reply, event);
            }
            ShardCommand::Submit { run, spec, reply } => self.enqueue_submission(run, spec, reply),
            ShardCommand::Cancel {
                run,
                team,
                job,
                reply,
            } => {
                let known = self.state.runs().get(&run);
                let is_other = known.is_some_and(|r| r.spec.team != team || r.spec.job != job);
                if is_other {
                    let error = RunCommandError::Refused(ShardRefusal::UnknownRun);
                    let _ = reply.send(Err(error));
                    return;
                }
                if let Some(domain) = known.and_then(|run| run.moved_to.clone()) {
                    let _ = reply.send(Err(RunCommandError::Moved(domain)));
                    return;
                }
                self.enqueue_request(
                    RequestKind::Cancel,
                    run.clone(),
                    reply,
                    ShardEvent::Cancel { run },
                );
            }
        }
    }

    /// Returns how many tasks could start now, within the team's quota; none while starts are held
    /// back or tasks wait.
    fn count_room(&self, request: &RoomRequest) -> Result<u64, RunCommandError> {
        if !self.is_owner() || self.is_releasing {
            return Err(RunCommandError::NotOwner);
        }
        // Work that waits here goes first.
        if self.start_gate.hold().is_some() || self.state.has_waiting_tasks() {
            return Ok(0);
        }
        let usable = self.usable_workers();
        let loads = self.placer.worker_loads().into_iter();
        let usable_loads = loads.filter(|load| usable.contains(&load.worker));
        let size = &request.size;
        let room = usable_loads.map(|load| tasks_in(&load.free, size)).sum();
        let within_quota = self
            .free_quota(&request.team)
            .map(|free| tasks_in(&free, size));
        Ok(within_quota.map_or(room, |tasks| tasks.min(room)))
    }

    /// Returns what the team's open attempts leave of its quota; `None` if it has none.
    fn free_quota(&self, team: &TeamName) -> Option<Resources> {
        let (shard, shard_count) = (&self.context.shard, self.context.shard_count);
        let quotas = ShardQuotas::new(self.context.config.current(), shard.index, shard_count);
        let limit = quotas.limit(team)?;
        let is_of_team = |attempt: &AttemptId| {
            let run = self.state.runs().get(&attempt.task.run);
            run.is_some_and(|run| run.spec.team == *team)
        };
        let open = self.state.open_attempts().iter();
        let of_team = open.filter(|(attempt, _)| is_of_team(attempt));
        let used = of_team.fold(Resources::default(), |sum, (_, open)| {
            sum.saturating_add(&open.size)
        });
        Some(limit.saturating_sub(&used))
    }

    fn enqueue_submission(&mut self, run: RunId, spec: Box<RunSpec>, reply: Reply) {
        let is_known = self.state.runs().contains_key(&run);
        if !is_known
            && self.is_owner()
            && let Some(reason) = self.never_runnable_reason(&spec.settings.size)
        {
            let _ = reply.send(Err(RunCommandError::NeverRunnable(reason)));
            return;
        }
        let event = ShardEvent::Submit {
            run: run.clone(),
            spec,
        };
        self.enqueue_request(RequestKind::Submit, run, reply, event);
    }

    /// Queues an event for the next batch, or rejects the request if it can't be recorded soon.
    fn enqueue_request(&mut self, kind: RequestKind, run: RunId, reply: Reply, event: ShardEvent) {
        let silence_ms = self.now_ms().saturating_sub(self.last_log_contact_ms);
        let error = if !self.is_owner() || self.is_releasing {
            Some(RunCommandError::NotOwner)
        } else if silence_ms > ADMISSION_LOG_SILENCE_MAX_MS
            || self.queued_requests.len() >= QUEUED_REQUESTS_MAX
        {
            Some(RunCommandError::Unavailable)
        } else {
            None
        };
        if let Some(error) = error {
            let _ = reply.send(Err(error));
            return;
        }
        if self.replies.add(&run, kind, reply) {
            self.queued_requests.push_back(event);
        }
    }

    /// Returns why no worker of the shard can run a task of this size.
    ///
    /// Returns `None` if a worker is large enough, or while the capacity of a listed worker is
    /// unknown.
    pub(super) fn never_runnable_reason(&self, size: &Resources) -> Option<Box<str>> {
        let hosts = self.context.hosts.current();
        let own = hosts
            .workers
            .iter()
            .filter(|entry| self.is_own_worker(entry));
        let workers = self.state.workers();
        let own: Option<Vec<(&WorkerId, &Resources)>> = own
            .map(|entry| {
                let worker_state = workers.get(&entry.worker)?;
                Some((&entry.worker, &worker_state.capacity))
            })
            .collect();
        let own = own?;
        if own.iter().any(|(_, capacity)| size.fits_in(capacity)) {
            return None;
        }
        let (worker, capacity) = own
            .into_iter()
            .rev()
            .max_by_key(|(_, capacity)| capacity.cpu_milli)?;
        let reason = format!(
            "a task needs {size}, but no worker has that; the largest, {worker}, has {capacity}; \
             too large for it: {}",
            lacking_resources(size, capacity)
        );
        Some(reason.into())
    }
}

/// Returns how many tasks of a size fit into free resources.
fn tasks_in(free: &Resources, size: &Resources) -> u64 {
    let ratios = [
        (free.cpu_milli.0, size.cpu_milli.0),
        (free.memory_mb.0, size.memory_mb.0),
        (free.accelerators.0, size.accelerators.0),
    ];
    let needed = ratios.into_iter().filter(|(_, size)| *size > 0);
    needed.map(|(free, size)| free / size).min().unwrap_or(0)
}

fn lacking_resources(size: &Resources, capacity: &Resources) -> String {
    let mut names = Vec::new();
    if size.cpu_milli > capacity.cpu_milli {
        names.push("cpu_milli");
    }
    if size.memory_mb > capacity.memory_mb {
        names.push("memory_mb");
    }
    if size.accelerators > capacity.accelerators {
        names.push("accelerators");
    }
    if names.is_empty() {
        names.push("no single resource, but no worker has all of them");
    }
    names.join(", ")
}
