use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::sizes::Resources;

/// What a check knows about the platform's hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformFacts {
    /// The services with at least one target.
    pub(crate) services: BTreeSet<ServiceName>,
    /// The failure domains of all targets and workers.
    pub(crate) failure_domains: BTreeSet<FailureDomain>,
    /// The total resources of the workers in each failure domain; `None` if a worker did not
    /// answer.
    pub(crate) capacities: Option<BTreeMap<FailureDomain, Resources>>,
}

impl PlatformFacts {
    /// Collects the facts of a host list.
    pub(crate) fn new(
        hosts: &HostSnapshot,
        capacities: Option<BTreeMap<FailureDomain, Resources>>,
    ) -> Self {
        let of_targets = hosts.targets.iter().map(|target| &target.failure_domain);
        let of_workers = hosts.workers.iter().map(|worker| &worker.failure_domain);
        let services = hosts.targets.iter().map(|target| target.service.clone());
        Self {
            services: services.collect(),
            failure_domains: of_targets.chain(of_workers).cloned().collect(),
            capacities,
        }
    }
}
