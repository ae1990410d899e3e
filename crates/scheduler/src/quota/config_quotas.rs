use std::sync::Arc;

use dotterelhook_peer::config::ConfigView;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;

use super::QuotaView;
use super::ShardQuotas;

/// One shard's part of the quotas in force at each moment.
pub(crate) struct ConfigQuotas {
    /// The configuration in force.
    pub(crate) config: Arc<dyn ConfigView>,
    /// The shard's index.
    pub(crate) shard_index: u32,
    /// The number of shards of the failure domain.
    pub(crate) shard_count: u32,
}

impl QuotaView for ConfigQuotas {
    fn limit(&self, team: &TeamName) -> Option<Resources> {
        let config = self.config.current();
        ShardQuotas::new(config, self.shard_index, self.shard_count).limit(team)
    }
}
