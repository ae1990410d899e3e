//! Placement of waiting tasks on workers, and eviction of running attempts for urgent tasks.

mod colocation_policy;
mod eviction;
mod indexed;
mod job_key;
mod observed_sizes;
mod placement_context;
mod placer;
mod proposal;
mod wait;

pub use colocation_policy::ColocationPolicy;
pub use colocation_policy::UnrestrictedColocation;
pub use eviction::Eviction;
pub use eviction::EvictionContext;
pub use eviction::EvictionPolicy;
pub use eviction::FewestVictims;
pub use eviction::RunningAttempt;
pub use eviction::WorkerLoad;
pub use indexed::IndexedPlacer;
pub use job_key::JobKey;
pub use observed_sizes::DeclaredSizes;
pub use observed_sizes::ObservedSizes;
pub use observed_sizes::SizeEstimator;
pub use placement_context::Placement;
pub use placement_context::PlacementContext;
pub use placer::Placer;
pub use proposal::Proposal;
pub use wait::LongWait;
pub use wait::NeverRunnable;
pub use wait::ResourceKind;
pub use wait::Shortfall;
pub use wait::WaitReason;
