use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;
use serde::Deserialize;
use serde::Serialize;

/// The error for a text that is not a [`MemberName`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberNameError;

impl fmt::Display for MemberNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid member name: expected HOST/INCARNATION@ADDRESS#CPU")
    }
}

impl Error for MemberNameError {}

/// A process on a host, under the name by which it joins the store's group of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberName {
    /// The name of the host.
    pub host: Box<str>,
    /// Distinguishes a restarted process from its predecessor; later ones are larger.
    pub incarnation: Incarnation,
    /// The address at which the process accepts calls from other hosts.
    pub address: SocketAddr,
    /// The CPU capacity of the host.
    pub cpu_milli: CpuMilli,
}

impl MemberName {
    /// Returns whether this process is a later one on the same host. The earlier process has ended
    /// in that case.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation > other.incarnation
    }

    /// Returns the priority of the process as a cell owner; larger values are preferred.
    ///
    /// CPU capacity comes first, since a cell is run by a single host. Among equal hosts the latest
    /// incarnation is preferred: in a rolling restart, the youngest process is stopped last.
    pub fn election_priority(&self) -> (CpuMilli, Incarnation) {
        (self.cpu_milli, self.incarnation)
    }
}

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            incarnation,
            address,
            cpu_milli,
        } = self;
        write!(f, "{host}/{incarnation}@{address}#{}", cpu_milli.0)
    }
}

impl FromStr for MemberName {
    type Err = MemberNameError;

    fn from_str(text: &str) -> Result<Self, MemberNameError> {
        let (place, cpu_milli) = text.rsplit_once('#').ok_or(MemberNameError)?;
        let (process, address) = place.rsplit_once('@').ok_or(MemberNameError)?;
        let (host, incarnation) = process.rsplit_once('/').ok_or(MemberNameError)?;
        Ok(Self {
            host: host.into(),
            incarnation: incarnation.parse().map_err(|_| MemberNameError)?,
            address: address.parse().map_err(|_| MemberNameError)?,
            cpu_milli: CpuMilli(cpu_milli.parse().map_err(|_| MemberNameError)?),
        })
    }
}
