use std::collections::BTreeSet;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_types::ids::FailureDomain;

/// A list to go by, and the failure domains whose last known entries it keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedList {
    /// The list.
    pub snapshot: HostSnapshot,
    /// Domains whose targets or workers had all vanished from the newer list.
    pub kept_domains: BTreeSet<FailureDomain>,
}

/// Accepts a newer list, but keeps a failure domain's targets or workers if all of them
/// vanished at once although one was not leaving: that is a fault of the list, not a plan.
pub fn accept_list(known: &HostSnapshot, newer: HostSnapshot) -> AcceptedList {
    let mut snapshot = newer;
    let mut kept_domains = BTreeSet::new();
    keep_vanished(&known.targets, &mut snapshot.targets, &mut kept_domains);
    keep_vanished(&known.workers, &mut snapshot.workers, &mut kept_domains);
    AcceptedList {
        snapshot,
        kept_domains,
    }
}

fn keep_vanished<T: Entry>(known: &[T], newer: &mut Vec<T>, kept: &mut BTreeSet<FailureDomain>) {
    let listed: BTreeSet<FailureDomain> = newer.iter().map(|e| e.domain().clone()).collect();
    let unplanned: BTreeSet<&FailureDomain> = known
        .iter()
        .filter(|entry| entry.state() == HostState::Live && !listed.contains(entry.domain()))
        .map(Entry::domain)
        .collect();
    let vanished = known
        .iter()
        .filter(|entry| unplanned.contains(entry.domain()));
    newer.extend(vanished.cloned());
    kept.extend(unplanned.into_iter().cloned());
}

/// What targets and workers have in common here.
trait Entry: Clone {
    fn domain(&self) -> &FailureDomain;
    fn state(&self) -> HostState;
}

impl Entry for TargetEntry {
    fn domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    fn state(&self) -> HostState {
        self.state
    }
}

impl Entry for WorkerEntry {
    fn domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    fn state(&self) -> HostState {
        self.state
    }
}
