use std::fmt;

use dotterelhook_types::ids::RunId;
use dotterelhook_types::sizes::Resources;

/// One dimension of a size.
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
    /// Returns the first dimension in which `size` exceeds `room`.
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

/// Why a run's next task was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// No usable worker has room.
    NoRoom,
    /// The team's quota is used up.
    Quota,
    /// Each worker with room runs a service that the job slows down.
    Interference,
    /// Other work came first in this batch.
    BehindOthers,
    /// No worker or no quota is large enough.
    NeverRunnable,
}

/// A run none of whose waiting tasks can ever run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeverRunnable {
    /// The run.
    pub run: RunId,
    /// The size of one task.
    pub size: Resources,
    /// The resource that lacks.
    pub resource: ResourceKind,
    /// The most that one task may have: the largest worker, or the team's quota.
    pub limit: Resources,
    /// Whether the quota is what is too small, not the workers.
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

/// A run that has started nothing for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongWait {
    /// The run.
    pub run: RunId,
    /// Time since its submission or its last start.
    pub waited_ms: u64,
    /// Why its next task was not started.
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
    /// The number of tasks.
    pub tasks: usize,
}
