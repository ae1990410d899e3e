use std::error::Error;
use std::fmt;
use std::fs;
use std::str::FromStr;

use spdlog::warn;

const MEMORY_INFO_FILE: &str = "/proc/meminfo";
const TOTAL_FIELD: &str = "MemTotal:";
/// The assumed size of a machine that does not report its memory: that of the smallest one.
const FALLBACK: MachineMemory = MachineMemory::from_megabytes(160);

/// The error for a text that does not report the memory of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineMemoryError;

impl fmt::Display for MachineMemoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no line {TOTAL_FIELD} with a size in kB")
    }
}

impl Error for MachineMemoryError {}

/// The memory that a machine has for this process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineMemory(u64);

impl MachineMemory {
    /// Creates a size of a number of megabytes, each a million bytes.
    pub const fn from_megabytes(megabytes: u64) -> Self {
        Self(megabytes * 1_000_000)
    }

    /// Returns the memory that the platform reports for this machine.
    pub fn detect() -> Self {
        let reported = fs::read_to_string(MEMORY_INFO_FILE).ok();
        reported
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| {
                warn!("memory: {MEMORY_INFO_FILE} can't be read, {FALLBACK} are assumed");
                FALLBACK
            })
    }

    /// Returns the size in bytes.
    pub fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for MachineMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0)
    }
}

impl FromStr for MachineMemory {
    type Err = MachineMemoryError;

    /// Parses the text of `/proc/meminfo`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let total = text.lines().find_map(|line| line.strip_prefix(TOTAL_FIELD));
        let kilobytes = total.and_then(|rest| rest.trim().strip_suffix("kB"));
        let kilobytes = kilobytes.and_then(|number| number.trim().parse::<u64>().ok());
        kilobytes
            .map(|kilobytes| Self(kilobytes * 1_024))
            .ok_or(MachineMemoryError)
    }
}
