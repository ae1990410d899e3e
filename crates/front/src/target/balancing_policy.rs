/// The choice of a target among those with a free slot.
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
    /// A target drawn at random.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests in flight.
    LeastInFlight,
    /// The less loaded of two random targets: requests in flight times recent latency.
    #[default]
    LeastWorkOfTwo,
}
