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
use super::FrontView;
use super::Lease;
use super::Queue;
use super::TargetPool;
use super::queue::QueueTerms;
use super::share;
use crate::limit::RetryBudget;
use crate::request::Cause;
use crate::request::RequestError;

/// A request waits for at most half of the time in which it should be answered.
const WAIT_MAX_PART_OF_OBJECTIVE: u64 = 2;
const WAIT_MAX_PART_OF_TIMEOUT: u64 = 4;

/// The targets of one service, its queue and its budget of retries.
#[derive(Debug, Default)]
pub struct ServiceTargets {
    policy: BalancingPolicy,
    fronts_max: usize,
    pools: ArcSwap<Vec<Arc<TargetPool>>>,
    queue: Arc<Queue>,
    retry_budget: RetryBudget,
    turn: AtomicUsize,
}

impl ServiceTargets {
    /// Creates an empty set; at most this number of fronts connect to each target.
    pub fn new(policy: BalancingPolicy, fronts_max: usize) -> Self {
        Self {
            policy,
            fronts_max,
            ..Self::default()
        }
    }

    /// Returns the budget of retries.
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Returns the queue.
    pub fn queue(&self) -> &Queue {
        &self.queue
    }

    /// Returns the pools of usable targets.
    pub fn pools(&self) -> Arc<Vec<Arc<TargetPool>>> {
        self.pools.load_full()
    }

    /// Takes over the usable targets; pools of targets that stay are kept.
    pub(super) fn update(&self, entries: &[&TargetEntry], view: FrontView) {
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
                pool.set_share(share(entry.slots as usize, &entry.target, view));
                pool.close_old_idle();
                pool
            })
            .collect();
        self.queue.set_targets(pools.len(), median_latency(&pools));
        self.pools.store(Arc::new(pools));
    }

    /// Takes a slot at a usable target, or waits for one in the service's queue.
    ///
    /// # Errors
    /// No slot can be had in time; nothing ran.
    pub async fn lease_in_turn(
        &self,
        settings: &ServiceSettings,
        deadline: Instant,
    ) -> Result<Lease, RequestError> {
        if self.queue.waiting() == 0
            && let Some(lease) = self.try_lease(&[])
        {
            return Ok(lease);
        }
        let slots = self.pools.load().iter().map(|pool| pool.limit()).sum();
        if slots == 0 {
            let detail = "the service has no usable target";
            return Err(RequestError::not_run(Cause::NoTarget, detail));
        }
        let part_ms = settings.objective.latency_ms / WAIT_MAX_PART_OF_OBJECTIVE;
        let wait_max_ms = part_ms.min(settings.timeout_ms / WAIT_MAX_PART_OF_TIMEOUT);
        let terms = QueueTerms {
            wait_max: Duration::from_millis(wait_max_ms),
            deadline,
            slots,
        };
        self.queue.wait(terms, || self.try_lease(&[])).await
    }

    /// Takes a slot at a usable target outside a list, unless all are taken.
    pub fn try_lease(&self, excluded: &[TargetId]) -> Option<Lease> {
        let pools = self.pools.load();
        let is_free = |pool: &&Arc<TargetPool>| {
            pool.in_flight() < pool.limit() && !excluded.contains(&pool.entry().target)
        };
        let free = pools.iter().filter(is_free);
        let chosen = match self.policy {
            BalancingPolicy::Random => free.choose(&mut rand::rng()),
            BalancingPolicy::LeastWorkOfTwo => self.less_work_of_two(free),
            BalancingPolicy::LeastInFlight => free.min_by_key(|pool| pool.in_flight()),
            BalancingPolicy::RoundRobin => {
                let turn = self.turn.fetch_add(1, Ordering::Relaxed) % pools.len().max(1);
                let (before, after) = pools.split_at(turn);
                after.iter().chain(before).find(is_free)
            }
        };
        chosen?.try_lease()
    }

    fn less_work_of_two<'a>(
        &self,
        free: impl Iterator<Item = &'a Arc<TargetPool>>,
    ) -> Option<&'a Arc<TargetPool>> {
        let usual_ms = self.queue.latency_ms().unwrap_or(1.0);
        let work = |pool: &Arc<TargetPool>| {
            (pool.in_flight() + 1) as f64 * pool.latency_ms().unwrap_or(usual_ms)
        };
        let two = free.sample(&mut rand::rng(), 2);
        two.into_iter().min_by(|a, b| work(a).total_cmp(&work(b)))
    }
}

fn median_latency(pools: &[Arc<TargetPool>]) -> Option<f64> {
    let mut latencies: Vec<f64> = pools.iter().filter_map(|pool| pool.latency_ms()).collect();
    latencies.sort_by(f64::total_cmp);
    latencies.get(latencies.len() / 2).copied()
}
