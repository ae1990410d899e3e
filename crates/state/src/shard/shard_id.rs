use std::fmt;

use dotterelhook_types::ids::FailureDomain;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a shard: a set of racks of one failure domain, owned by one scheduler at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The failure domain that the racks belong to.
    pub failure_domain: FailureDomain,
    /// The shard's index within the failure domain, starting at 0.
    pub index: u32,
}

impl ShardId {
    /// Returns the name of the shard's stream on the log.
    pub fn stream(&self) -> String {
        format!("shard.{}.{}", self.failure_domain, self.index)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.failure_domain, self.index)
    }
}
