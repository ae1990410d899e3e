//! Quotas: limits on the resources that each team's open attempts may reserve in a failure
//! domain.

mod quota_view;
mod shard_quotas;
mod team_usage;

pub use quota_view::NoQuotas;
pub use quota_view::QuotaView;
pub use shard_quotas::ShardQuotas;
pub use team_usage::TeamUsage;
