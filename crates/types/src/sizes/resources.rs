use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Accelerators;
use super::CpuMilli;
use super::MemoryMb;

/// What a worker has, or what a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time.
    pub cpu_milli: CpuMilli,
    /// Memory.
    pub memory_mb: MemoryMb,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Creates an amount of processor time and memory, without accelerators.
    pub fn new(cpu_milli: u64, memory_mb: u64) -> Self {
        Self {
            cpu_milli: CpuMilli(cpu_milli),
            memory_mb: MemoryMb(memory_mb),
            accelerators: Accelerators(0),
        }
    }

    /// Returns whether this amount fits into the given one in every dimension.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Adds in every dimension; stops at the largest number.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: CpuMilli(self.cpu_milli.0.saturating_add(other.cpu_milli.0)),
            memory_mb: MemoryMb(self.memory_mb.0.saturating_add(other.memory_mb.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// Subtracts in every dimension; stops at zero.
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
