//! Following the platform's store: keyed topics, and whether the store can be reached.

mod boot_clock;
mod keyed_feed;
mod store_health;
mod tracked_store;

pub use boot_clock::boot_now;
pub use keyed_feed::FeedBatch;
pub use keyed_feed::KeyedFeed;
pub use store_health::StoreHealth;
pub use tracked_store::TrackedStore;
