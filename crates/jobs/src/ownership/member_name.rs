use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;
use serde::Deserialize;
use serde::Serialize;

/// A text that is not a member's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberNameError;

impl fmt::Display for MemberNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a member's name has the form HOST/INCARNATION@ADDRESS#CPU")
    }
}

impl Error for MemberNameError {}

/// One life of a process on a host, as it stands in the store's group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberName {
    /// The host.
    pub host: Box<str>,
    /// Tells a restarted process from its predecessor.
    pub incarnation: Incarnation,
    /// Where the process takes calls of other hosts.
    pub address: SocketAddr,
    /// The host's processor time.
    pub cpu_milli: CpuMilli,
}

impl MemberName {
    /// Returns whether this process runs on the host of an earlier one, which is gone then.
    pub fn is_restart_of(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation > other.incarnation
    }

    /// Returns how well the process suits as an owner; larger is better.
    ///
    /// An owner's work needs one strong host. In a rolling restart the youngest process is the last
    /// that will be stopped again.
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
