use std::collections::BTreeMap;

use dotterelhook_borders::worker::AttemptReport;
use dotterelhook_borders::worker::AttemptStatus;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::OpenAttempt;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::WorkerState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;
use spdlog::warn;

use super::shard_task::ShardTask;
use crate::worker::WorkerCommand;
use crate::worker::WorkerReport;

impl ShardTask {
    /// Reconciles a worker's inventory, or records since when the worker is silent.
    pub(super) fn handle_report(&mut self, report: WorkerReport) {
        if self.renewal_right.is_none() || self.is_releasing {
            return;
        }
        match report.inventory {
            Ok(inventory) => {
                if self.silent_since_unix_ms.remove(&report.worker).is_some() {
                    info!("shard: worker {} answers again", report.worker);
                }
                self.reconcile_inventory(&inventory);
            }
            Err(error) => {
                if !self.silent_since_unix_ms.contains_key(&report.worker) {
                    warn!("shard: worker {} does not answer: {error}", report.worker);
                    let now_ms = self.context.clock.unix_ms();
                    self.silent_since_unix_ms.insert(report.worker, now_ms);
                }
            }
        }
    }

    fn reconcile_inventory(&mut self, inventory: &Inventory) {
        let worker = &inventory.worker;
        let worker_state = self.state.workers().get(worker);
        let is_current = worker_state
            .is_some_and(|worker_state| worker_state.incarnation == inventory.incarnation);
        self.inventories
            .insert(worker.clone(), (inventory.incarnation, inventory.capacity));
        if !is_current {
            // The record of the new incarnation ends the attempts of the former one.
            return;
        }
        let reports: BTreeMap<&AttemptId, &AttemptReport> = inventory
            .attempts
            .iter()
            .map(|report| (&report.attempt, report))
            .collect();
        for (attempt, open) in self.open_attempts_on(worker) {
            match reports.get(&attempt) {
                Some(report) => self.reconcile_attempt(report, &open),
                None => self.reconcile_missing_attempt(&attempt, &open),
            }
        }
        self.clear_unknown_attempts(inventory);
        self.evict_excess(worker);
        self.record_usage(inventory);
    }

    fn open_attempts_on(&self, worker: &WorkerId) -> Vec<(AttemptId, OpenAttempt)> {
        let worker_state = self.state.workers().get(worker);
        let ids = worker_state
            .into_iter()
            .flat_map(|worker_state| &worker_state.open);
        ids.filter_map(|id| {
            let open = self.state.open_attempts().get(id)?;
            Some((id.clone(), open.clone()))
        })
        .collect()
    }

    fn send_command(&self, worker: &WorkerId, command: WorkerCommand) {
        if let Some(handle) = self.workers.get(worker) {
            handle.send(command);
        }
    }

    fn reconcile_attempt(&mut self, report: &AttemptReport, open: &OpenAttempt) {
        let attempt = report.attempt.clone();
        if let Some(end) = reported_end(report) {
            self.queue_end(attempt, end);
        } else if self.evicting.contains(&attempt) {
            self.send_evict(&attempt);
        } else if self.should_run(&attempt) {
            self.send_command(&open.worker, WorkerCommand::KeepLease(attempt));
        } else {
            self.send_command(&open.worker, WorkerCommand::Stop(attempt, stop_body(open)));
        }
    }

    /// Handles an open attempt that the worker does not list: the start is repeated if the attempt
    /// should run and starts are allowed; otherwise a stop makes the worker reject a start that
    /// arrives late, and the task waits again.
    fn reconcile_missing_attempt(&self, attempt: &AttemptId, open: &OpenAttempt) {
        if self.should_run(attempt) && self.start_gate.hold().is_none() {
            self.send_start(attempt, &open.worker);
        } else {
            let command = WorkerCommand::Stop(attempt.clone(), stop_body(open));
            self.send_command(&open.worker, command);
        }
    }

    fn should_run(&self, attempt: &AttemptId) -> bool {
        let run = self.state.runs().get(&attempt.task.run);
        run.is_some_and(|run| run.needs_attempt(attempt))
            && !self.attempts_with_queued_end.contains(attempt)
    }

    /// Stops running attempts that are not open, counts the ends of attempts that were declared lost,
    /// and lets the worker forget the other ended ones.
    fn clear_unknown_attempts(&mut self, inventory: &Inventory) {
        for report in &inventory.attempts {
            if self.state.open_attempts().contains_key(&report.attempt) {
                continue;
            }
            let lost = self.state.lost_attempts().get(&report.attempt);
            if lost.is_some_and(|lost| lost.worker == inventory.worker)
                && let Some(end) = reported_end(report)
            {
                self.queue_end(report.attempt.clone(), end);
                continue;
            }
            let attempt = report.attempt.clone();
            let command = match report.status {
                AttemptStatus::Running => {
                    let start_offset = report.start_offset;
                    WorkerCommand::Stop(attempt, StopBody { start_offset })
                }
                _ => WorkerCommand::Forget(attempt),
            };
            self.send_command(&inventory.worker, command);
        }
    }

    /// Evicts all attempts from a leaving worker, and the newest ones from a worker whose capacity
    /// has shrunk below its use.
    fn evict_excess(&self, worker: &WorkerId) {
        let Some(worker_state) = self.state.workers().get(worker) else {
            return;
        };
        let is_leaving = self.leaving_workers.contains(worker);
        let mut used = worker_state.used;
        let mut open = self.open_attempts_on(worker);
        open.sort_by_key(|(_, open)| open.offset);
        while let Some((attempt, newest)) = open.pop() {
            if !is_leaving && used.fits_in(&worker_state.capacity) {
                return;
            }
            used = used.saturating_sub(&newest.size);
            if self.should_run(&attempt) {
                let command = WorkerCommand::Evict(attempt, stop_body(&newest));
                self.send_command(worker, command);
            }
        }
    }

    /// Makes an open attempt write a checkpoint and stop.
    pub(super) fn send_evict(&self, attempt: &AttemptId) {
        if let Some(open) = self.state.open_attempts().get(attempt) {
            let command = WorkerCommand::Evict(attempt.clone(), stop_body(open));
            self.send_command(&open.worker, command);
        }
    }

    fn queue_end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        if self.attempts_with_queued_end.insert(attempt.clone()) {
            self.queued_ends.push_back(ShardEvent::End { attempt, end });
        }
    }

    /// Returns when a worker last answered this owner, by the monotonic clock.
    pub(super) fn answered_at_ms(&self, worker: &WorkerId) -> Option<u64> {
        let answer = self.latest_answers.get(worker)?.get()?;
        Some(answer.at_ms)
    }

    /// Returns when all leases of a silent worker have certainly expired, by the monotonic clock.
    ///
    /// A worker that has answered this owner rejects calls of former owners, so only this owner's
    /// leases count. A former owner may renew leases on any other worker until its renewal right
    /// expires.
    pub(super) fn leases_expired_at_ms(&self, worker: &WorkerId) -> u64 {
        let times = &self.context.lease_times;
        match self.answered_at_ms(worker) {
            Some(answered_at_ms) => answered_at_ms + times.expiry_wait.as_millis() as u64,
            None => self.owned_since_ms + times.takeover_wait().as_millis() as u64,
        }
    }

    /// Queues the end of attempts as lost on workers whose leases have certainly expired.
    pub(super) fn queue_lost_attempts(&mut self) {
        let now_ms = self.now_ms();
        let has_expired = |worker: &WorkerId, worker_state: &WorkerState| {
            !worker_state.open.is_empty() && now_ms > self.leases_expired_at_ms(worker)
        };
        let workers = self.state.workers().iter();
        let workers = workers.filter(|entry| has_expired(entry.0, entry.1));
        let lost: Vec<AttemptId> = workers.flat_map(|(_, a)| a.open.clone()).collect();
        for attempt in lost {
            self.queue_end(attempt, AttemptEnd::Lost);
        }
    }

    /// Returns events for workers whose incarnation or capacity differs from the recorded one.
    pub(super) fn worker_change_events(&self) -> Vec<ShardEvent> {
        let changed = self.inventories.iter().filter(|(worker, inventory)| {
            let worker_state = self.state.workers().get(*worker);
            let recorded =
                worker_state.map(|worker_state| (worker_state.incarnation, worker_state.capacity));
            recorded != Some(**inventory)
        });
        changed
            .map(|(worker, (incarnation, capacity))| ShardEvent::Worker {
                worker: worker.clone(),
                incarnation: *incarnation,
                capacity: *capacity,
            })
            .collect()
    }
}

/// Returns the end of an attempt according to its worker; `None` if it still runs.
fn reported_end(report: &AttemptReport) -> Option<AttemptEnd> {
    match report.status {
        AttemptStatus::Running => None,
        AttemptStatus::Succeeded => Some(AttemptEnd::Succeeded),
        AttemptStatus::Failed => Some(AttemptEnd::Failed {
            cause: report
                .cause
                .clone()
                .unwrap_or_else(|| "no cause given".into()),
        }),
        AttemptStatus::Stopped | AttemptStatus::Lapsed => Some(AttemptEnd::Evicted {
            checkpoint: report.checkpoint.clone(),
        }),
    }
}

fn stop_body(open: &OpenAttempt) -> StopBody {
    StopBody {
        start_offset: open.offset,
    }
}
