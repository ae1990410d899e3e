//! Evacuation of the failure domain whose workers a scheduler manages: nothing starts there.

mod evacuation_monitor;
mod start_gate;
mod start_hold;

pub(crate) use evacuation_monitor::EvacuationMonitor;
pub(crate) use start_gate::StartGate;
pub(crate) use start_hold::StartHold;
