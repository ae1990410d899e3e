//! The configuration in force: followed on the platform's log, or fetched from a peer.

mod config_follower;
mod config_handler;
mod config_metrics;
mod config_peer_fetcher;
mod config_store;
mod config_view;
mod fetch_config;
mod snapshot_policy;
mod snapshot_reader;
mod snapshot_writer;

pub use config_follower::ConfigFollower;
use config_metrics::ConfigMetrics;
pub use config_peer_fetcher::ConfigPeerFetcher;
use config_store::ConfigStore;
use config_store::LogBounds;
pub use config_view::ConfigView;
pub use snapshot_reader::read_snapshot;

/// The registry name under which the services of this module share the store.
const STORE_NAME: &str = "config-store";
