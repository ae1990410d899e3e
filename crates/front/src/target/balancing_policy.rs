/// How a target is chosen among those with a free slot.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum BalancingPolicy {
    /// Any target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The one with the fewest requests in flight.
    LeastInFlight,
    /// Of two random ones, the one with less expected work: requests in flight times latency.
    #[default]
    LeastWorkOfTwo,
}
