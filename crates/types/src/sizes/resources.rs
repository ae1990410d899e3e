use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Accelerators;
use super::CpuMilli;
use super::MemoryMb;

/// A vector of resources: the capacity of a worker, or the size of a task or executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    pub cpu_milli: CpuMilli,
    /// Memory in megabytes of 10^6 bytes.
    pub memory_mb: MemoryMb,
    /// Number of accelerators; 0 if the document omits the field.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Creates a size with processor capacity and memory but no accelerators.
    pub fn new(cpu_milli: u64, memory_mb: u64) -> Self {
        Self {
            cpu_milli: CpuMilli(cpu_milli),
            memory_mb: MemoryMb(memory_mb),
            accelerators: Accelerators(0),
        }
    }

    /// Returns whether this size is at most `capacity` in every dimension.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Adds in every dimension, saturating at `u64::MAX`.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: CpuMilli(self.cpu_milli.0.saturating_add(other.cpu_milli.0)),
            memory_mb: MemoryMb(self.memory_mb.0.saturating_add(other.memory_mb.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// Subtracts in every dimension, saturating at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: CpuMilli(self.cpu_milli.0.saturating_sub(other.cpu_milli.0)),
            memory_mb: MemoryMb(self.memory_mb.0.saturating_sub(other.memory_mb.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.cpu_milli, self.memory_mb)?;
        match self.accelerators.0 {
            0 => Ok(()),
            count => write!(f, " {count} accelerators"),
        }
    }
}
