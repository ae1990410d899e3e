//! Access to the platform's store: change feeds of keyed topics, call metrics and reachability.

mod boot_clock;
mod change_feed;
mod store_health;
mod tracked_store;

pub use boot_clock::time_since_boot;
pub use change_feed::ChangeFeed;
pub use change_feed::FeedBatch;
pub use store_health::StoreHealth;
pub use tracked_store::TrackedStore;
