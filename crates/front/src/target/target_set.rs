use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TargetId;

use super::BalancingPolicy;
use super::FrontGroup;
use super::ServiceTargets;
use super::TargetPool;

/// The usable targets of one failure domain, by service.
#[derive(Debug)]
pub struct TargetSet {
    failure_domain: FailureDomain,
    policy: BalancingPolicy,
    fronts_max: usize,
    services: ArcSwap<BTreeMap<ServiceName, Arc<ServiceTargets>>>,
}

impl TargetSet {
    /// Creates an empty set; at most `fronts_max` fronts connect to each target.
    pub fn new(failure_domain: FailureDomain, policy: BalancingPolicy, fronts_max: usize) -> Self {
        Self {
            failure_domain,
            policy,
            fronts_max,
            services: ArcSwap::default(),
        }
    }

    /// Applies the host list, the targets reported as draining and the group of fronts.
    pub fn update(&self, hosts: &HostSnapshot, draining: &BTreeSet<TargetId>, group: FrontGroup) {
        let mut usable: BTreeMap<&ServiceName, Vec<&TargetEntry>> = BTreeMap::new();
        for entry in &hosts.targets {
            let entries = usable.entry(&entry.service).or_default();
            let is_own = entry.failure_domain == self.failure_domain;
            let is_live = entry.state == HostState::Live && !draining.contains(&entry.target);
            if is_own && is_live {
                entries.push(entry);
            }
        }
        let current = self.services.load();
        let mut services = BTreeMap::clone(&current);
        for (service, entries) in usable {
            let targets = services
                .entry(service.clone())
                .or_insert_with(|| Arc::new(ServiceTargets::new(self.policy, self.fronts_max)));
            targets.update(&entries, group);
        }
        services.retain(|service, targets| {
            let is_listed = hosts.targets.iter().any(|entry| entry.service == *service);
            if !is_listed {
                targets.update(&[], group);
            }
            is_listed
        });
        self.services.store(Arc::new(services));
    }

    /// Returns the targets of a service, or `None` if the host list names none.
    pub fn service(&self, service: &ServiceName) -> Option<Arc<ServiceTargets>> {
        self.services.load().get(service).cloned()
    }

    /// Returns the targets of every service in the host list.
    pub fn services(&self) -> Vec<(ServiceName, Arc<ServiceTargets>)> {
        let services = self.services.load();
        let entries = services.iter();
        entries
            .map(|(service, targets)| (service.clone(), Arc::clone(targets)))
            .collect()
    }

    /// Returns the targets that refused this front's requests because they are draining.
    pub fn draining_targets(&self) -> Vec<TargetId> {
        let services = self.services.load();
        let pools = services.values().flat_map(|targets| {
            let pools = targets.pools();
            let draining: Vec<Arc<TargetPool>> = pools
                .iter()
                .filter(|pool| pool.is_draining())
                .cloned()
                .collect();
            draining
        });
        pools.map(|pool| pool.entry().target.clone()).collect()
    }
}
