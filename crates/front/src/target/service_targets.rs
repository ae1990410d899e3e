use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_state::config::ServiceSettings;
use dotterelhook_types::ids::TargetId;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::BalancingPolicy;
use super::FrontGroup;
use super::SlotPermit;
use super::SlotQueue;
use super::TargetPool;
use super::slot_queue::WaitLimits;
use super::slot_share;
use crate::limit::RetryBudget;
use crate::request::Cause;
use crate::request::RequestError;

/// A request waits in the queue for at most half of its latency objective.
const OBJECTIVE_WAIT_DIVISOR: u64 = 2;
const TIMEOUT_WAIT_DIVISOR: u64 = 4;

/// The targets of one service, with the queue and the retry budget that they share.
#[derive(Debug, Default)]
pub struct ServiceTargets {
    policy: BalancingPolicy,
    fronts_max: usize,
    pools: ArcSwap<Vec<Arc<TargetPool>>>,
    queue: Arc<SlotQueue>,
    retry_budget: RetryBudget,
    next_turn: AtomicUsize,
}

impl ServiceTargets {
    /// Creates an empty set; at most `fronts_max` fronts connect to each target.
    pub fn new(policy: BalancingPolicy, fronts_max: usize) -> Self {
        Self {
            policy,
            fronts_max,
            ..Self::default()
        }
    }

    /// Returns the budget that limits retries of the service's requests.
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Returns the queue of requests that wait for a slot.
    pub fn queue(&self) -> &SlotQueue {
        &self.queue
    }

    /// Returns one pool for each usable target.
    pub fn pools(&self) -> Arc<Vec<Arc<TargetPool>>> {
        self.pools.load_full()
    }

    /// Replaces the usable targets; targets whose entry is unchanged keep their pool.
    pub(super) fn update(&self, entries: &[&TargetEntry], group: FrontGroup) {
        let current = self.pools.load();
        let known: BTreeMap<&TargetId, &Arc<TargetPool>> = current
            .iter()
            .map(|pool| (&pool.entry().target, pool))
            .collect();
        let pools: Vec<Arc<TargetPool>> = entries
            .iter()
            .map(|entry| {
                let known = known
                    .get(&entry.target)
                    .filter(|pool| pool.entry() == *entry);
                let pool = known.map(|pool| Arc::clone(pool)).unwrap_or_else(|| {
                    let queue = Arc::clone(&self.queue);
                    let entry = TargetEntry::clone(entry);
                    Arc::new(TargetPool::new(entry, queue, self.fronts_max))
                });
                pool.set_share(slot_share(entry.slots as usize, &entry.target, group));
                pool.close_expired_idle();
                pool
            })
            .collect();
        self.queue
            .update_targets(pools.len(), median_latency_ms(&pools));
        self.pools.store(Arc::new(pools));
    }

    /// Acquires a slot at a usable target, after waiting in the service's queue if necessary.
    ///
    /// # Errors
    /// No target is usable, or no slot becomes free in time. The request did not run.
    pub async fn acquire_slot(
        &self,
        settings: &ServiceSettings,
        deadline: Instant,
    ) -> Result<SlotPermit, RequestError> {
        if self.queue.waiting() == 0
            && let Some(slot) = self.try_acquire_slot(&[])
        {
            return Ok(slot);
        }
        let slots = self
            .pools
            .load()
            .iter()
            .map(|pool| pool.concurrency_limit())
            .sum();
        if slots == 0 {
            let detail = "the service has no usable target";
            return Err(RequestError::not_run(Cause::NoTarget, detail));
        }
        let objective_part_ms = settings.objective.latency_ms / OBJECTIVE_WAIT_DIVISOR;
        let wait_max_ms = objective_part_ms.min(settings.timeout_ms / TIMEOUT_WAIT_DIVISOR);
        let limits = WaitLimits {
            wait_max: Duration::from_millis(wait_max_ms),
            deadline,
            slots,
        };
        self.queue
            .wait_for_slot(limits, || self.try_acquire_slot(&[]))
            .await
    }

    /// Acquires a slot at a usable target that is not excluded, or returns `None`.
    pub fn try_acquire_slot(&self, excluded: &[TargetId]) -> Option<SlotPermit> {
        let pools = self.pools.load();
        let is_free = |pool: &&Arc<TargetPool>| {
            pool.in_flight() < pool.concurrency_limit() && !excluded.contains(&pool.entry().target)
        };
        let free = pools.iter().filter(is_free);
        let chosen = match self.policy {
            BalancingPolicy::Random => free.choose(&mut rand::rng()),
            BalancingPolicy::LeastWorkOfTwo => self.less_loaded_of_two(free),
            BalancingPolicy::LeastInFlight => free.min_by_key(|pool| pool.in_flight()),
            BalancingPolicy::RoundRobin => {
                let turn = self.next_turn.fetch_add(1, Ordering::Relaxed) % pools.len().max(1);
                let (before, after) = pools.split_at(turn);
                after.iter().chain(before).find(is_free)
            }
        };
        chosen?.try_acquire_slot()
    }

    fn less_loaded_of_two<'a>(
        &self,
        free: impl Iterator<Item = &'a Arc<TargetPool>>,
    ) -> Option<&'a Arc<TargetPool>> {
        let median_ms = self.queue.latency_ms().unwrap_or(1.0);
        let work = |pool: &Arc<TargetPool>| {
            (pool.in_flight() + 1) as f64 * pool.latency_ms().unwrap_or(median_ms)
        };
        let two = free.sample(&mut rand::rng(), 2);
        two.into_iter().min_by(|a, b| work(a).total_cmp(&work(b)))
    }
}

fn median_latency_ms(pools: &[Arc<TargetPool>]) -> Option<f64> {
    let mut latencies: Vec<f64> = pools.iter().filter_map(|pool| pool.latency_ms()).collect();
    latencies.sort_by(f64::total_cmp);
    latencies.get(latencies.len() / 2).copied()
}
