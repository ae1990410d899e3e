use std::collections::BTreeSet;

use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::sizes::Resources;

use crate::placement::JobKey;

/// Key of a scheduling class: runs with equal keys are interchangeable for placement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    pub(super) priority: Priority,
    pub(super) job: JobKey,
    /// Declared processor time in millicores, memory in megabytes, and accelerators.
    declared: (u64, u64, u64),
}

impl ClassKey {
    pub(super) fn new(priority: Priority, job: JobKey, size: &Resources) -> Self {
        Self {
            priority,
            job,
            declared: (size.cpu_milli.0, size.memory_mb.0, size.accelerators.0),
        }
    }

    pub(super) fn declared(&self) -> Resources {
        let (cpu_milli, memory_mb, accelerators) = self.declared;
        let mut size = Resources::new(cpu_milli, memory_mb);
        size.accelerators.0 = accelerators;
        size
    }
}

/// The runs of one scheduling class that have waiting tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RunClass {
    /// Ordered by submission.
    pub(super) by_submission: BTreeSet<(Offset, RunId)>,
    /// Ordered by the Unix time in milliseconds since which the run waits.
    pub(super) by_wait_start: BTreeSet<(u64, Offset, RunId)>,
}

impl RunClass {
    /// Returns the runs that have waited at least since the given time, longest wait first.
    pub(super) fn waiting_since(
        &self,
        since_unix_ms: u64,
    ) -> impl Iterator<Item = &(u64, Offset, RunId)> {
        let has_waited = move |entry: &&(u64, Offset, RunId)| entry.0 <= since_unix_ms;
        self.by_wait_start.iter().take_while(has_waited)
    }
}
