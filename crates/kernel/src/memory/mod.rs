//! The account of the bytes that a process holds for its clients.

mod connection_memory;
mod connection_phase;
mod lasting_memory;
mod machine_memory;
mod memory_account;
mod memory_metrics;
mod memory_shortage;
mod progress;
mod reservation;

pub use connection_memory::ConnectionMemory;
pub use lasting_memory::LastingMemory;
pub use machine_memory::MachineMemory;
pub use memory_account::MemoryAccount;
pub use memory_metrics::MemoryMetrics;
pub use memory_shortage::MemoryShortage;
pub use reservation::Reservation;
