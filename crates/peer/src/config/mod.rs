//! The configuration in force: followed on the platform's log, or taken from a peer.

mod config_call;
mod config_follower;
mod config_metrics;
mod config_peer_fetcher;
mod config_store;
mod config_view;
mod peer_source;
mod snapshot_keeper;
mod snapshot_policy;
mod snapshot_reader;

pub use config_follower::ConfigFollower;
use config_metrics::ConfigMetrics;
pub use config_peer_fetcher::ConfigPeerFetcher;
use config_store::ConfigStore;
use config_store::LogBounds;
pub use config_view::ConfigView;
pub use snapshot_reader::read_snapshot;

/// The name under which the services of this module share the configuration.
const STORE: &str = "config-store";
