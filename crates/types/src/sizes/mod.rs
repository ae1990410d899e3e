//! Resource sizes of hosts and tasks, and rates. Each quantity has a distinct type and unit.

mod amount;
mod resources;

pub use amount::Accelerators;
pub use amount::AmountError;
pub use amount::CpuMilli;
pub use amount::MemoryMb;
pub use amount::PerSecond;
pub use resources::Resources;
