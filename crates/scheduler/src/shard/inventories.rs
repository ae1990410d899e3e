use std::collections::BTreeMap;

use dotterelhook_borders::worker::AttemptReport;
use dotterelhook_borders::worker::AttemptStatus;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::OpenAttempt;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::WorkerAccount;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;
use spdlog::warn;

use super::shard_task::ShardTask;
use crate::worker::WorkerCommand;
use crate::worker::WorkerReport;

impl ShardTask {
    /// Takes in a worker's answer or its silence.
    pub(super) fn take_report(&mut self, report: WorkerReport) {
        if self.right.is_none() || self.is_releasing {
            return;
        }
        match report.inventory {
            Ok(inventory) => {
                if self.silent_since_unix_ms.remove(&report.worker).is_some() {
                    info!("shard: worker {} answers again", report.worker);
                }
                self.take_inventory(&inventory);
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

    fn take_inventory(&mut self, inventory: &Inventory) {
        let worker = &inventory.worker;
        let account = self.state.workers().get(worker);
        let is_current =
            account.is_some_and(|account| account.incarnation == inventory.incarnation);
        self.inventories
            .insert(worker.clone(), (inventory.incarnation, inventory.capacity));
        if !is_current {
            // The record of the new incarnation ends what was open at the former one.
            return;
        }
        let reports: BTreeMap<&AttemptId, &AttemptReport> = inventory
            .attempts
            .iter()
            .map(|report| (&report.attempt, report))
            .collect();
        for (attempt, open) in self.open_at(worker) {
            match reports.get(&attempt) {
                Some(report) => self.take_attempt_report(report, &open),
                None => self.take_absence(&attempt, &open),
            }
        }
        self.clean_up(inventory);
        self.evict_excess(worker);
        self.observe_usage(inventory);
    }

    fn open_at(&self, worker: &WorkerId) -> Vec<(AttemptId, OpenAttempt)> {
        let account = self.state.workers().get(worker);
        let ids = account.into_iter().flat_map(|account| &account.open);
        ids.filter_map(|id| {
            let open = self.state.open_attempts().get(id)?;
            Some((id.clone(), open.clone()))
        })
        .collect()
    }

    fn send(&self, worker: &WorkerId, command: WorkerCommand) {
        if let Some(handle) = self.workers.get(worker) {
            handle.send(command);
        }
    }

    fn take_attempt_report(&mut self, report: &AttemptReport, open: &OpenAttempt) {
        let attempt = report.attempt.clone();
        let end = match report.status {
            AttemptStatus::Running if self.evicting.contains(&attempt) => {
                self.evict(&attempt);
                return;
            }
            AttemptStatus::Running if self.is_wanted(&attempt) => {
                self.send(&open.worker, WorkerCommand::Keep(attempt));
                return;
            }
            AttemptStatus::Running => {
                self.send(&open.worker, WorkerCommand::Stop(attempt, stop_body(open)));
                return;
            }
            AttemptStatus::Succeeded => AttemptEnd::Succeeded,
            AttemptStatus::Failed => AttemptEnd::Failed {
                cause: report
                    .cause
                    .clone()
                    .unwrap_or_else(|| "no cause given".into()),
            },
            AttemptStatus::Stopped | AttemptStatus::Lapsed => AttemptEnd::Evicted {
                checkpoint: report.checkpoint.clone(),
            },
        };
        self.propose_end(attempt, end);
    }

    /// Starts an attempt that never arrived, or has the worker refuse it for good.
    fn take_absence(&self, attempt: &AttemptId, open: &OpenAttempt) {
        if self.is_wanted(attempt) {
            self.start(attempt, &open.worker);
        } else {
            let command = WorkerCommand::Stop(attempt.clone(), stop_body(open));
            self.send(&open.worker, command);
        }
    }

    fn is_wanted(&self, attempt: &AttemptId) -> bool {
        let run = self.state.runs().get(&attempt.task.run);
        run.is_some_and(|run| run.status == RunStatus::Active)
            && !self.proposed_ends.contains(attempt)
    }

    /// Stops or forgets what the worker knows beyond the open attempts.
    fn clean_up(&self, inventory: &Inventory) {
        for report in &inventory.attempts {
            if self.state.open_attempts().contains_key(&report.attempt) {
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
            self.send(&inventory.worker, command);
        }
    }

    /// Evicts everything from a leaving worker, and the newest attempts from one that shrank.
    fn evict_excess(&self, worker: &WorkerId) {
        let Some(account) = self.state.workers().get(worker) else {
            return;
        };
        let is_leaving = self.leaving.contains(worker);
        let mut used = account.used;
        let mut open = self.open_at(worker);
        open.sort_by_key(|(_, open)| open.offset);
        while let Some((attempt, newest)) = open.pop() {
            if !is_leaving && used.fits_in(&account.capacity) {
                return;
            }
            used = used.saturating_sub(&newest.size);
            if self.is_wanted(&attempt) {
                let command = WorkerCommand::Evict(attempt, stop_body(&newest));
                self.send(worker, command);
            }
        }
    }

    /// Has an open attempt write a checkpoint and stop.
    pub(super) fn evict(&self, attempt: &AttemptId) {
        if let Some(open) = self.state.open_attempts().get(attempt) {
            let command = WorkerCommand::Evict(attempt.clone(), stop_body(open));
            self.send(&open.worker, command);
        }
    }

    fn propose_end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        if self.proposed_ends.insert(attempt.clone()) {
            self.ends.push_back(ShardEvent::End { attempt, end });
        }
    }

    /// Returns the time of a worker's newest answer to this owner.
    pub(super) fn contact(&self, worker: &WorkerId) -> Option<u64> {
        let answer = self.contacts.get(worker)?.answer()?;
        Some(answer.at_ms)
    }

    /// Returns when a silent worker's leases are over for certain, by the monotonic clock.
    ///
    /// A worker that answered this owner refuses the former ones, so only this owner's leases
    /// count. Any other may be renewed until the former owner's right has ended.
    pub(super) fn given_up_at_ms(&self, worker: &WorkerId) -> u64 {
        let times = &self.context.times;
        match self.contact(worker) {
            Some(answered_at_ms) => answered_at_ms + times.lapse_wait.as_millis() as u64,
            None => self.owned_since_ms + times.takeover_wait().as_millis() as u64,
        }
    }

    /// Gives up the attempts of workers whose leases are over for certain.
    pub(super) fn give_up_silent(&mut self) {
        let now_ms = self.now_ms();
        let is_over = |worker: &WorkerId, account: &WorkerAccount| {
            !account.open.is_empty() && now_ms > self.given_up_at_ms(worker)
        };
        let workers = self.state.workers().iter();
        let workers = workers.filter(|entry| is_over(entry.0, entry.1));
        let lost: Vec<AttemptId> = workers.flat_map(|(_, a)| a.open.clone()).collect();
        for attempt in lost {
            self.propose_end(attempt, AttemptEnd::Lost);
        }
    }

    /// Returns events for workers whose inventory differs from what is recorded.
    pub(super) fn worker_events(&self) -> Vec<ShardEvent> {
        let changed = self.inventories.iter().filter(|(worker, inventory)| {
            let account = self.state.workers().get(*worker);
            let recorded = account.map(|account| (account.incarnation, account.capacity));
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

fn stop_body(open: &OpenAttempt) -> StopBody {
    StopBody {
        start_offset: open.offset,
    }
}
