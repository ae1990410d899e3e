//! How much of a failure domain's workers each team may take at once.

mod quota_view;
mod shard_quotas;
mod team_usage;

pub use quota_view::NoQuotas;
pub use quota_view::QuotaView;
pub use shard_quotas::ShardQuotas;
pub use team_usage::TeamUsage;
