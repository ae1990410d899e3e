use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use super::ConfigDocument;
use super::ConfigState;

const EVACUATIONS_PREFIX: &str = "operators/evacuations/";

/// An operator's request that nothing starts on the workers of a failure domain. It is in force from
/// its record until the record that removes its path, `operators/evacuations/DOMAIN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// The time of the request by the operator's clock, as Unix time in milliseconds.
    pub requested_at_unix_ms: u64,
}

impl Evacuation {
    /// Returns the path of the request for a failure domain.
    pub fn path(domain: &FailureDomain) -> ConfigPath {
        let path = format!("{EVACUATIONS_PREFIX}{domain}").parse();
        path.expect("a failure domain is a valid segment of a path")
    }

    fn domain(path: &ConfigPath) -> Option<FailureDomain> {
        path.as_str().strip_prefix(EVACUATIONS_PREFIX)?.parse().ok()
    }
}

impl ConfigState {
    /// Returns the evacuation in force at the path of a failure domain, and the offset of its record.
    pub fn evacuation_at(&self, path: &ConfigPath) -> Option<(Offset, Evacuation)> {
        let version = self.version(path)?;
        match &*version.document {
            ConfigDocument::Evacuation(_, evacuation) => Some((version.offset, *evacuation)),
            _ => None,
        }
    }

    /// Returns the evacuations in force, ordered by failure domain.
    pub fn evacuations(&self) -> impl Iterator<Item = (FailureDomain, Offset, Evacuation)> {
        self.versions().keys().filter_map(|path| {
            let domain = Evacuation::domain(path)?;
            let (offset, evacuation) = self.evacuation_at(path)?;
            Some((domain, offset, evacuation))
        })
    }

    /// Returns the failure domains whose evacuation has ended, with the offset of the record that
    /// ended it. The oldest ends are not retained.
    pub fn ended_evacuations(&self) -> impl Iterator<Item = (FailureDomain, Offset)> {
        let removals = self.removals.iter();
        removals.filter_map(|(path, offset)| Some((Evacuation::domain(path)?, offset)))
    }
}
