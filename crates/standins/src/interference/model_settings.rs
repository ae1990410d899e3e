/// The size and the behaviour of the model; one step is one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSettings {
    /// The number of workers.
    pub workers: usize,
    /// The number of services; each worker runs one executor of one of them.
    pub services: usize,
    /// The number of kinds of batch tasks.
    pub kinds: usize,
    /// The share of a worker's processors that batch tasks may take.
    pub batch_share: f64,
    /// The share of a worker's processors that a service takes at full load.
    pub service_share: f64,
    /// The work that arrives, as a share of what batch tasks may take.
    pub offered: f64,
    /// The probability that a kind slows a service down.
    pub bad_pair_probability: f64,
    /// The relative error of a measured latency.
    pub noise: f64,
    /// The youngest age of a measurement on arrival.
    pub lag_min_s: u64,
    /// The oldest age of a measurement on arrival.
    pub lag_max_s: u64,
    /// Time between measurements of one worker.
    pub measure_interval_s: u64,
    /// Time between waves of one kind of task.
    pub wave_interval_s: u64,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            workers: 24,
            services: 3,
            kinds: 8,
            batch_share: 0.6,
            service_share: 0.4,
            offered: 1.0,
            bad_pair_probability: 0.25,
            noise: 0.05,
            lag_min_s: 5,
            lag_max_s: 30,
            measure_interval_s: 5,
            wave_interval_s: 600,
        }
    }
}
