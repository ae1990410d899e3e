use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use rapidhash::v3::rapidhash_v3;
use spdlog::info;

use super::shard_task::ShardTask;
use crate::worker::WorkerCommand;
use crate::worker::WorkerContext;
use crate::worker::WorkerHandle;
use crate::worker::spawn_worker_task;

impl ShardTask {
    /// Starts and stops worker tasks to match the host list.
    ///
    /// A worker that was removed from the list keeps its task while it has open attempts.
    pub(super) fn sync_worker_tasks(&mut self) {
        let hosts = self.context.hosts.current();
        if self.workers.values().any(WorkerHandle::has_panicked) {
            // One worker's unexpected answer must not leave its attempts without renewals.
            self.workers.retain(|_, handle| !handle.has_panicked());
            self.applied_hosts = None;
        }
        let is_same = self
            .applied_hosts
            .as_ref()
            .is_some_and(|s| Arc::ptr_eq(s, &hosts));
        if is_same {
            self.remove_unlisted_workers();
            return;
        }
        self.applied_hosts = Some(Arc::clone(&hosts));
        let leaving = hosts.workers.iter();
        let leaving = leaving.filter(|entry| entry.state == HostState::Leaving);
        self.leaving_workers = leaving.map(|entry| entry.worker.clone()).collect();
        for entry in &hosts.workers {
            if !self.is_own_worker(entry) {
                continue;
            }
            let current_address = self.workers.get(&entry.worker).map(WorkerHandle::address);
            if current_address != Some(entry.address)
                && let Some(handle) = self.spawn_worker(entry)
            {
                self.workers.insert(entry.worker.clone(), handle);
            }
        }
        let listed = hosts.workers.iter().map(|entry| &entry.worker);
        let listed: BTreeSet<&WorkerId> = listed.collect();
        let unlisted = self.workers.keys().filter(|w| !listed.contains(w));
        self.unlisted_workers = unlisted.cloned().collect();
        self.remove_unlisted_workers();
    }

    /// Ends the tasks of removed workers whose last open attempt has ended.
    fn remove_unlisted_workers(&mut self) {
        let workers = self.state.workers();
        let has_work = |worker: &WorkerId| workers.get(worker).is_some_and(|w| !w.open.is_empty());
        let unlisted = std::mem::take(&mut self.unlisted_workers).into_iter();
        let (kept, removed): (BTreeSet<WorkerId>, BTreeSet<WorkerId>) =
            unlisted.partition(has_work);
        self.unlisted_workers = kept;
        for worker in &removed {
            self.workers.remove(worker);
            self.interference.remove_worker(worker);
        }
    }

    /// Returns whether a worker's rack is assigned to this shard.
    pub(super) fn is_own_worker(&self, entry: &WorkerEntry) -> bool {
        let rack_hash = rapidhash_v3(entry.rack.as_str().as_bytes());
        entry.failure_domain == self.context.shard.failure_domain
            && rack_hash % u64::from(self.context.shard_count)
                == u64::from(self.context.shard.index)
    }

    fn spawn_worker(&mut self, entry: &WorkerEntry) -> Option<WorkerHandle> {
        let renewal_right = Arc::clone(self.renewal_right.as_ref()?);
        let latest_answer = self.latest_answers.entry(entry.worker.clone()).or_default();
        Some(spawn_worker_task(WorkerContext {
            worker: entry.worker.clone(),
            address: entry.address,
            agent: self.context.worker_agents.agent(entry.address),
            lease: self.context.lease_times.lease,
            clock: Arc::clone(&self.context.clock),
            renewal_right,
            start_gate: Arc::clone(&self.start_gate),
            latest_answer: Arc::clone(latest_answer),
            reports: self.reports.clone(),
        }))
    }

    /// Returns the workers that accept new attempts: not leaving, answering, and not cooling off.
    pub(super) fn usable_workers(&self) -> BTreeSet<WorkerId> {
        let now_ms = self.now_ms();
        let is_usable = |worker: &&WorkerId| {
            !self.leaving_workers.contains(*worker)
                && self.answered_recently(worker, now_ms)
                && self.accepts_work(worker)
        };
        let workers = self.state.workers().keys();
        workers.filter(is_usable).cloned().collect()
    }

    /// Returns whether a worker answered this owner within the last half lease.
    fn answered_recently(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let lease_ms = self.context.lease_times.lease.as_millis() as u64;
        self.answered_at_ms(worker)
            .is_some_and(|answered_at_ms| now_ms < answered_at_ms + lease_ms / 2)
    }

    fn accepts_work(&self, worker: &WorkerId) -> bool {
        let worker_state = self.state.workers().get(worker);
        let has_probe = worker_state.is_some_and(|w| w.is_quarantined() && !w.open.is_empty());
        let until_ms = self.cool_off_until_ms.get(worker);
        let is_cooling_off = until_ms.is_some_and(|until_ms| self.now_ms() < *until_ms);
        !has_probe && !is_cooling_off
    }

    /// Sends a recorded attempt to its worker, if the recorded incarnation of the worker has
    /// answered this owner and starts are allowed in the failure domain.
    pub(super) fn send_start(&self, attempt: &AttemptId, worker: &WorkerId) {
        let Some(handle) = self.workers.get(worker) else {
            return;
        };
        if let Some(hold) = self.start_gate.hold() {
            info!("shard: attempt {attempt} is not started on {worker}: {hold}");
            self.context.metrics.held_starts.inc();
            return;
        }
        if let Some(body) = self.start_body(attempt, worker) {
            handle.send(WorkerCommand::Start(attempt.clone(), body));
        }
    }

    fn start_body(&self, attempt: &AttemptId, worker: &WorkerId) -> Option<StartBody> {
        let run = self.state.runs().get(&attempt.task.run)?;
        let TaskState::Open { checkpoint, .. } = run.tasks.get(attempt.task.index as usize)? else {
            return None;
        };
        let open = self.state.open_attempts().get(attempt)?;
        let latest_answer = self.latest_answers.get(worker)?;
        if latest_answer.get()?.incarnation != open.incarnation {
            return None;
        }
        Some(StartBody {
            epoch: self.renewal_right.as_ref()?.epoch(),
            worker_incarnation: open.incarnation,
            start_offset: open.offset,
            lease_until_ms: latest_answer.next_lease_until_ms(self.context.lease_times.lease)?,
            size: open.size,
            run_time_ms: run.spec.settings.run_time_ms,
            checkpoint: checkpoint.clone(),
        })
    }
}
