use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dotterelhook_platform::hosts::HostSnapshot;
use dotterelhook_platform::hosts::HostState;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TargetId;
use rand::seq::IndexedRandom;

use super::Lease;
use super::TargetPool;

type Pools = BTreeMap<TargetId, Arc<TargetPool>>;

/// The targets of one failure domain.
#[derive(Debug)]
pub struct TargetSet {
    failure_domain: FailureDomain,
    pools: ArcSwap<Pools>,
}

impl TargetSet {
    /// Creates an empty set.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            pools: ArcSwap::default(),
        }
    }

    /// Takes over the host list; pools of targets that stay are kept.
    pub fn update(&self, hosts: &HostSnapshot) {
        let current = self.pools.load();
        let usable = hosts.targets.iter().filter(|entry| {
            entry.failure_domain == self.failure_domain && entry.state == HostState::Live
        });
        let pools: Pools = usable
            .map(|entry| {
                let known = current
                    .get(&entry.target)
                    .filter(|pool| pool.entry() == entry);
                let pool = known.cloned();
                let pool = pool.unwrap_or_else(|| Arc::new(TargetPool::new(entry.clone())));
                (entry.target.clone(), pool)
            })
            .collect();
        self.pools.store(Arc::new(pools));
    }

    /// Takes a slot at one of two random targets, the one with more free slots.
    pub fn lease(&self, service: &ServiceName, excluded: &[TargetId]) -> Option<Lease> {
        let pools = self.pools.load();
        let usable: Vec<&Arc<TargetPool>> = pools
            .values()
            .filter(|pool| pool.entry().service == *service)
            .filter(|pool| pool.free_slots() > 0 && !excluded.contains(&pool.entry().target))
            .collect();
        let chosen = usable
            .sample(&mut rand::rng(), 2)
            .max_by_key(|pool| pool.free_slots())?;
        chosen.try_lease()
    }
}
