use std::sync::Arc;

use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Accelerators;
use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::MemoryMb;
use dotterelhook_types::sizes::Resources;

use super::QuotaView;

/// One shard's fixed part of the quotas of its failure domain.
///
/// The parts of all shards add up to exactly the quota. The owners of the shards therefore keep the
/// quota together, even when they are partitioned from each other.
#[derive(Clone, Debug)]
pub struct ShardQuotas {
    config: Arc<ConfigState>,
    shard_index: u32,
    shard_count: u32,
}

impl ShardQuotas {
    /// Creates the quotas of shard `shard_index` out of `shard_count`; a count of zero is taken as
    /// one.
    pub fn new(config: Arc<ConfigState>, shard_index: u32, shard_count: u32) -> Self {
        Self {
            config,
            shard_index,
            shard_count: shard_count.max(1),
        }
    }

    fn shard_part(&self, whole: u64) -> u64 {
        let count = u64::from(self.shard_count);
        let has_remainder_unit = u64::from(self.shard_index) < whole % count;
        whole / count + u64::from(has_remainder_unit)
    }
}

impl QuotaView for ShardQuotas {
    fn limit(&self, team: &TeamName) -> Option<Resources> {
        let whole = self.config.quota(team)?.batch;
        Some(Resources {
            cpu_milli: CpuMilli(self.shard_part(whole.cpu_milli.0)),
            memory_mb: MemoryMb(self.shard_part(whole.memory_mb.0)),
            accelerators: Accelerators(self.shard_part(whole.accelerators.0)),
        })
    }
}
