use std::fmt;

use dotterelhook_types::ids::RunId;
use dotterelhook_types::sizes::Resources;

/// One resource of a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ResourceKind {
    /// Processor time.
    Processors,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl ResourceKind {
    /// Returns the first resource in which `size` exceeds `room`.
    pub fn first_exceeded(size: &Resources, room: &Resources) -> Option<Self> {
        if size.cpu_milli > room.cpu_milli {
            Some(Self::Processors)
        } else if size.memory_mb > room.memory_mb {
            Some(Self::Memory)
        } else if size.accelerators > room.accelerators {
            Some(Self::Accelerators)
        } else {
            None
        }
    }
}

/// Reason why a run's next task was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// No usable worker has room.
    NoRoom,
    /// The team's quota has no room for the task.
    Quota,
    /// Every worker with room runs a service that the job would slow down.
    Interference,
    /// Other work was placed first in this round.
    BehindOthers,
    /// The task exceeds every worker or the team's quota.
    NeverRunnable,
}

/// A run whose waiting tasks exceed every worker or the team's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeverRunnable {
    /// The run.
    pub run: RunId,
    /// The size of one task.
    pub size: Resources,
    /// The first resource in which a task exceeds the limit.
    pub resource: ResourceKind,
    /// The exceeded limit: the team's quota, or the capacity of the worker that comes closest to
    /// the size.
    pub limit: Resources,
    /// Whether the exceeded limit is the team's quota rather than a worker's capacity.
    pub is_quota_limit: bool,
}

impl fmt::Display for NeverRunnable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limit = if self.is_quota_limit {
            "the team's quota"
        } else {
            "the largest worker"
        };
        write!(
            f,
            "run {} can never run: a task takes {}, {limit} has {}, {} lack",
            self.run, self.size, self.limit, self.resource
        )
    }
}

/// A run without a start for the long-wait period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongWait {
    /// The run.
    pub run: RunId,
    /// Time since the run's submission or its last start.
    pub waited_ms: u64,
    /// Reason why the run's next task was not started.
    pub reason: WaitReason,
}

impl fmt::Display for LongWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.waited_ms / 1_000;
        write!(
            f,
            "run {} has waited {seconds} s: {}",
            self.run, self.reason
        )
    }
}

/// Urgent tasks for which no worker had room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The run.
    pub run: RunId,
    /// The size of one task.
    pub size: Resources,
    /// Number of tasks without room.
    pub tasks: usize,
}
