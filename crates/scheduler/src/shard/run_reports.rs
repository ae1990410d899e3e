use std::collections::BTreeMap;

use dotterelhook_state::shard::CRASHES_MAX;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use spdlog::warn;

use super::shard_task::ShardTask;

impl ShardTask {
    /// Returns the summary of each run; an owner adds why attempts and tasks are waiting.
    pub(super) fn list_runs(&self) -> Vec<RunSummary> {
        let mut summaries = self.state.run_summaries();
        if !self.is_owner() {
            return summaries;
        }
        let mut waits = self.silent_worker_waits();
        let hold = self.start_gate.hold().map(|hold| hold.to_string());
        for summary in &mut summaries {
            summary.is_from_owner = true;
            summary.waits = waits.remove(&summary.run).unwrap_or_default();
            summary
                .waits
                .extend(self.placement_wait_reasons.get(&summary.run).cloned());
            if self.state.undelivered_runs().contains(&summary.run) {
                summary.waits.push("waits to be adopted there".into());
            }
            if let Some(hold) = hold.as_ref().filter(|_| summary.waiting > 0) {
                summary.waits.push(hold.as_str().into());
            }
        }
        summaries
    }

    /// Returns an event for each active run past its deadline that is not recorded as overdue yet.
    pub(super) fn overdue_events(&self) -> Vec<ShardEvent> {
        let now_ms = self.context.clock.unix_ms();
        let late = self
            .state
            .deadlines()
            .iter()
            .take_while(|(deadline_at_unix_ms, _)| *deadline_at_unix_ms < now_ms);
        late.map(|(_, run)| ShardEvent::Overdue { run: run.clone() })
            .collect()
    }

    pub(super) fn handle_overdue_run(&self, run: &RunId) {
        let done = self.state.runs().get(run).map_or(0, |run| run.done);
        warn!("shard: run {run} is overdue with {done} tasks done");
        self.context.metrics.overdue_runs.inc();
    }

    /// Returns events that fail runs whose waiting tasks fit on no worker any more.
    ///
    /// Runs are only checked after the workers have changed.
    pub(super) fn never_runnable_events(&mut self) -> Vec<ShardEvent> {
        if !std::mem::take(&mut self.workers_changed) {
            return Vec::new();
        }
        let active = self.state.active_runs().iter();
        active
            .filter_map(|id| {
                let run = self.state.runs().get(id)?;
                if run.waiting_tasks().is_empty() {
                    return None;
                }
                let cause = self.never_runnable_reason(&run.spec.settings.size)?;
                Some(ShardEvent::Fail {
                    run: id.clone(),
                    cause,
                })
            })
            .collect()
    }

    /// Returns events that fail runs with a task that is the likely cause of lost workers.
    pub(super) fn crash_loop_events(&self) -> Vec<ShardEvent> {
        let active = self.state.active_runs().iter();
        active
            .filter_map(|id| {
                let run = self.state.runs().get(id)?;
                let index = run.crash_looping_task()?;
                warn!("shard: run {id} is given up: its task {index} crashes the workers that start it");
                let cause = format!("task {index}: {CRASHES_MAX} workers were lost as it ran");
                Some(ShardEvent::Fail {
                    run: id.clone(),
                    cause: cause.into(),
                })
            })
            .collect()
    }

    fn silent_worker_waits(&self) -> BTreeMap<RunId, Vec<Box<str>>> {
        let mut waits: BTreeMap<RunId, Vec<Box<str>>> = BTreeMap::new();
        for (worker, worker_state) in self.state.workers() {
            let Some(reason) = self
                .silent_worker_wait(worker)
                .filter(|_| !worker_state.open.is_empty())
            else {
                continue;
            };
            let mut runs: Vec<&RunId> = worker_state.open.iter().map(|a| &a.task.run).collect();
            runs.dedup();
            for run in runs {
                waits.entry(run.clone()).or_default().push(reason.clone());
            }
        }
        waits
    }

    /// Returns why open attempts of a silent worker are not recorded as lost yet.
    fn silent_worker_wait(&self, worker: &WorkerId) -> Option<Box<str>> {
        let since_unix_ms = self.silent_since_unix_ms.get(worker)?;
        let rule = match self.answered_at_ms(worker) {
            Some(_) => "until its leases are over",
            None => "until it answers or the former owner's right to renew is over",
        };
        let now_ms = self.now_ms();
        let left_ms = self.leases_expired_at_ms(worker).saturating_sub(now_ms);
        let reason = format!(
            "waits for worker {worker}, silent since {since_unix_ms} (Unix time in ms), {rule}, \
             {left_ms} ms more at most"
        );
        Some(reason.into())
    }
}
