use std::collections::BTreeSet;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_types::ids::FailureDomain;

/// A host list with implausible gaps filled, and the failure domains that were filled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedList {
    /// The newer list plus the retained entries.
    pub snapshot: HostSnapshot,
    /// Domains whose targets or workers all vanished from the newer list although one was live.
    pub retained_domains: BTreeSet<FailureDomain>,
}

/// Accepts a newer list and fills its implausible gaps from the known list.
///
/// A planned removal marks hosts as leaving first. If all targets or all workers of a failure
/// domain vanish at once and one of them was live, the newer list counts as faulty. The domain's
/// known entries of that kind are then retained.
pub fn accept_list(known: &HostSnapshot, newer: HostSnapshot) -> AcceptedList {
    let mut snapshot = newer;
    let mut retained_domains = BTreeSet::new();
    retain_vanished(&known.targets, &mut snapshot.targets, &mut retained_domains);
    retain_vanished(&known.workers, &mut snapshot.workers, &mut retained_domains);
    AcceptedList {
        snapshot,
        retained_domains,
    }
}

fn retain_vanished<T: HostEntry>(
    known: &[T],
    newer: &mut Vec<T>,
    retained_domains: &mut BTreeSet<FailureDomain>,
) {
    let listed: BTreeSet<FailureDomain> = newer.iter().map(|e| e.domain().clone()).collect();
    let unplanned: BTreeSet<&FailureDomain> = known
        .iter()
        .filter(|entry| entry.state() == HostState::Live && !listed.contains(entry.domain()))
        .map(HostEntry::domain)
        .collect();
    let vanished = known
        .iter()
        .filter(|entry| unplanned.contains(entry.domain()));
    newer.extend(vanished.cloned());
    retained_domains.extend(unplanned.into_iter().cloned());
}

/// The fields that targets and workers have in common.
trait HostEntry: Clone {
    fn domain(&self) -> &FailureDomain;
    fn state(&self) -> HostState;
}

impl HostEntry for TargetEntry {
    fn domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    fn state(&self) -> HostState {
        self.state
    }
}

impl HostEntry for WorkerEntry {
    fn domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    fn state(&self) -> HostState {
        self.state
    }
}
