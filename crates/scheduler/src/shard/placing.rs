use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_borders::worker::Inventory;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;

use super::shard_task::ShardTask;
use crate::interference::InterferenceAvoidance;
use crate::placement::EvictionContext;
use crate::placement::JobKey;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Proposal;
use crate::placement::Shortfall;
use crate::quota::ShardQuotas;

const STARTS_PER_BATCH_MAX: usize = 500;
const EVICTIONS_PER_BATCH_MAX: usize = 16;

impl ShardTask {
    /// Returns events for the next starts, unless nothing may start in the failure domain, and begins evictions for urgent tasks without room.
    pub(super) fn place_tasks(&mut self) -> Vec<ShardEvent> {
        self.placement_wait_reasons.clear();
        if !self.state.has_waiting_tasks() || self.start_gate.hold().is_some() {
            return Vec::new();
        }
        let usable = self.usable_workers();
        let placement = self.propose(&usable);
        self.evict_for_shortfalls(&placement.shortfalls, &usable);
        self.placement_wait_reasons = wait_reasons(&placement);
        placement.starts.into_iter().map(start_event).collect()
    }

    fn propose(&mut self, usable: &BTreeSet<WorkerId>) -> Placement {
        let config = self.context.config.current();
        self.prune_observed_sizes(&config);
        let shard = &self.context.shard;
        let quotas = ShardQuotas::new(config, shard.index, self.context.shard_count);
        let recorded = self.state.workers();
        let context = PlacementContext {
            quotas: &quotas,
            sizes: &self.observed_sizes,
            colocation: &InterferenceAvoidance {
                controller: &*self.interference.controller,
                state: &self.state,
            },
            is_usable: &|worker| usable.contains(worker),
            is_quarantined: &|worker| recorded.get(worker).is_some_and(|a| a.is_quarantined()),
            has_all_inventories: self.workers.keys().all(|w| recorded.contains_key(w)),
            now_unix_ms: self.context.clock.unix_ms(),
            starts_max: STARTS_PER_BATCH_MAX,
        };
        self.placer.propose(&context)
    }

    /// Drops the observed sizes of jobs that are no longer published.
    fn prune_observed_sizes(&mut self, config: &Arc<ConfigState>) {
        let is_same = self
            .applied_config
            .as_ref()
            .is_some_and(|seen| Arc::ptr_eq(seen, config));
        if !is_same {
            self.observed_sizes
                .retain(|key| config.job(&key.team, &key.job).is_some());
            self.applied_config = Some(Arc::clone(config));
        }
    }

    /// Evicts attempts to make room for urgent tasks.
    ///
    /// Each evicted attempt writes a checkpoint, stops, and is recorded as evicted.
    fn evict_for_shortfalls(&mut self, shortfalls: &[Shortfall], usable: &BTreeSet<WorkerId>) {
        if shortfalls.is_empty() {
            return;
        }
        let evictions = self.context.eviction_policy.choose(&EvictionContext {
            shortfalls,
            loads: &self.placer.worker_loads(),
            pending: &self.evicting,
            is_usable: &|worker| usable.contains(worker),
            evictions_max: EVICTIONS_PER_BATCH_MAX,
        });
        for eviction in evictions {
            info!(
                "shard: evicting attempt {} on {} to make room for urgent tasks",
                eviction.attempt, eviction.worker
            );
            self.context.metrics.evictions.inc();
            self.send_evict(&eviction.attempt);
            self.evicting.insert(eviction.attempt);
        }
    }

    /// Records the resource usage of tasks, so that later tasks of the job reserve enough.
    pub(super) fn record_usage(&mut self, inventory: &Inventory) {
        for sample in &inventory.usage {
            let run = sample.attempt.as_ref().map(|attempt| &attempt.task.run);
            if let Some(run) = run.and_then(|run| self.state.runs().get(run)) {
                let job = JobKey {
                    team: run.spec.team.clone(),
                    job: run.spec.job.clone(),
                };
                self.observed_sizes.record(&job, &sample.used);
            }
        }
        let config = self.context.config.current();
        let now_ms = self.now_ms();
        self.interference
            .record_usage(&self.state, &config, inventory, now_ms);
    }
}

fn start_event(proposal: Proposal) -> ShardEvent {
    ShardEvent::Start {
        attempt: proposal.attempt,
        worker: proposal.worker,
        size: proposal.size,
    }
}

/// Returns, for each run that starts nothing, the reason shown in its summary.
fn wait_reasons(placement: &Placement) -> BTreeMap<RunId, Box<str>> {
    let long = placement.long_waits.iter();
    let long = long.map(|wait| (wait.run.clone(), wait.to_string().into()));
    let never = placement.never_runnable.iter();
    let never = never.map(|never| (never.run.clone(), never.to_string().into()));
    long.chain(never).collect()
}
