use std::fmt;
use std::net::SocketAddr;

use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::ExecutorId;
use super::FailureDomainName;
use super::Label;
use super::ServiceId;

/// One life of an executor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExecutorKey {
    /// The executor.
    pub id: ExecutorId,
    /// Tells this life from earlier ones under the same id.
    pub incarnation: Incarnation,
}

impl fmt::Display for ExecutorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.id, self.incarnation)
    }
}

/// Whether an executor takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutorPhase {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining {
        /// The least time that is left, in milliseconds, if the executor told it.
        remaining_ms: Option<u64>,
    },
}

impl ExecutorPhase {
    /// Returns whether the executor is about to leave.
    pub fn is_draining(self) -> bool {
        matches!(self, Self::Draining { .. })
    }
}

/// What an executor tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorEntry {
    /// The executor.
    pub id: ExecutorId,
    /// Its life, if the entry names it.
    pub incarnation: Option<Incarnation>,
    /// The pool that it belongs to.
    pub service: ServiceId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub failure_domain: FailureDomainName,
    /// Its kind and its rack.
    pub labels: Vec<Label>,
    /// What it has room for.
    pub capacity: Resources,
    /// Whether it takes new work.
    pub phase: ExecutorPhase,
}

impl ExecutorEntry {
    /// Returns the rack, which is the last of the labels.
    pub fn rack(&self) -> Option<&Label> {
        self.labels.last()
    }
}
