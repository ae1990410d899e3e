use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use rapidhash::v3::rapidhash_v3;

use super::shard_task::ShardTask;
use crate::worker::WorkerCommand;
use crate::worker::WorkerContext;
use crate::worker::WorkerHandle;
use crate::worker::spawn_worker_task;

impl ShardTask {
    /// Keeps a task for each worker of the shard that the host list names.
    pub(super) fn refresh_workers(&mut self) {
        let hosts = self.context.hosts.current();
        let is_same = self
            .seen_hosts
            .as_ref()
            .is_some_and(|s| Arc::ptr_eq(s, &hosts));
        if is_same {
            return;
        }
        self.seen_hosts = Some(Arc::clone(&hosts));
        let leaving = hosts.workers.iter();
        let leaving = leaving.filter(|entry| entry.state == HostState::Leaving);
        self.leaving = leaving.map(|entry| entry.worker.clone()).collect();
        for entry in &hosts.workers {
            if !self.is_own_worker(entry) {
                continue;
            }
            let known = self.workers.get(&entry.worker).map(WorkerHandle::address);
            if known != Some(entry.address)
                && let Some(handle) = self.spawn_worker(entry)
            {
                self.workers.insert(entry.worker.clone(), handle);
            }
        }
        let listed: BTreeSet<&WorkerId> = hosts.workers.iter().map(|e| &e.worker).collect();
        let state = &self.state;
        let has_work = |worker: &WorkerId| {
            let account = state.workers().get(worker);
            account.is_some_and(|account| !account.open.is_empty())
        };
        let gone = |worker: &WorkerId| !listed.contains(worker) && !has_work(worker);
        let forgotten: Vec<WorkerId> = self.workers.keys().filter(|w| gone(w)).cloned().collect();
        for worker in forgotten {
            self.workers.remove(&worker);
            self.interference.forget_worker(&worker);
        }
    }

    /// Returns whether a worker's rack belongs to this shard.
    pub(super) fn is_own_worker(&self, entry: &WorkerEntry) -> bool {
        let rack_hash = rapidhash_v3(entry.rack.as_str().as_bytes());
        entry.failure_domain == self.context.shard.failure_domain
            && rack_hash % u64::from(self.context.shard_count)
                == u64::from(self.context.shard.index)
    }

    fn spawn_worker(&mut self, entry: &WorkerEntry) -> Option<WorkerHandle> {
        let right = Arc::clone(self.right.as_ref()?);
        let contact = self.contacts.entry(entry.worker.clone()).or_default();
        Some(spawn_worker_task(WorkerContext {
            worker: entry.worker.clone(),
            address: entry.address,
            agent: self.context.agents.agent(entry.address),
            lease: self.context.times.lease,
            clock: Arc::clone(&self.context.clock),
            right,
            contact: Arc::clone(contact),
            reports: self.reports.clone(),
        }))
    }

    /// Returns the workers that may take new work.
    pub(super) fn usable_workers(&self) -> BTreeSet<WorkerId> {
        let now_ms = self.now_ms();
        let is_usable = |worker: &&WorkerId| {
            !self.leaving.contains(*worker)
                && self.answers(worker, now_ms)
                && self.takes_work(worker)
        };
        let workers = self.state.workers().keys();
        workers.filter(is_usable).cloned().collect()
    }

    /// Returns whether a worker answered this owner lately.
    fn answers(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let lease_ms = self.context.times.lease.as_millis() as u64;
        self.contact(worker)
            .is_some_and(|answered_at_ms| now_ms < answered_at_ms + lease_ms / 2)
    }

    fn takes_work(&self, worker: &WorkerId) -> bool {
        let account = self.state.workers().get(worker);
        let has_probe =
            account.is_some_and(|account| account.is_quarantined() && !account.open.is_empty());
        let until_ms = self.cool_off_until_ms.get(worker);
        let is_cooling = until_ms.is_some_and(|until_ms| self.now_ms() < *until_ms);
        !has_probe && !is_cooling
    }

    /// Sends a recorded attempt to its worker, if the worker answered this owner.
    pub(super) fn start(&self, attempt: &AttemptId, worker: &WorkerId) {
        let Some(handle) = self.workers.get(worker) else {
            return;
        };
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
        let contact = self.contacts.get(worker)?;
        if contact.answer()?.incarnation != open.incarnation {
            return None;
        }
        Some(StartBody {
            epoch: self.right.as_ref()?.epoch(),
            worker_incarnation: open.incarnation,
            start_offset: open.offset,
            lease_until_ms: contact.lease_until_ms(self.context.times.lease)?,
            size: open.size,
            run_time_ms: run.spec.settings.run_time_ms,
            checkpoint: checkpoint.clone(),
        })
    }
}
