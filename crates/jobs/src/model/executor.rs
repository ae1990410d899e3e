use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::ExecutorId;
use super::FailureDomainName;
use super::Label;
use super::ServiceId;

/// One incarnation of an executor.
///
/// Written as `EXECUTOR/INCARNATION`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutorKey {
    /// The id, which stays the same over restarts.
    pub id: ExecutorId,
    /// Distinguishes this incarnation from earlier ones under the same id.
    pub incarnation: Incarnation,
}

impl fmt::Display for ExecutorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}

/// Whether an executor accepts new runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutorPhase {
    /// The executor accepts new runs.
    Ready,
    /// The executor is about to shut down and accepts no new runs.
    Draining {
        /// The minimum time until the shutdown, in milliseconds, if the executor reported one.
        remaining_ms: Option<u64>,
    },
}

impl ExecutorPhase {
    /// Returns whether the executor is about to shut down.
    pub fn is_draining(self) -> bool {
        matches!(self, Self::Draining { .. })
    }
}

/// An executor as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorEntry {
    /// The id, which stays the same over restarts.
    pub id: ExecutorId,
    /// The current incarnation, if the entry names one.
    pub incarnation: Option<Incarnation>,
    /// The pool that the executor belongs to.
    pub service: ServiceId,
    /// The address that accepts orders.
    pub address: SocketAddr,
    /// The failure domain that contains the executor.
    pub failure_domain: FailureDomainName,
    /// The kind of the executor and, last, its rack.
    pub labels: Vec<Label>,
    /// The resources that runs can reserve in total.
    pub capacity: Resources,
    /// Whether the executor accepts new runs.
    pub phase: ExecutorPhase,
    /// How much longer the executor is slow after its start.
    pub cold_left: Duration,
}

impl ExecutorEntry {
    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> Option<&Label> {
        self.labels.last()
    }
}
