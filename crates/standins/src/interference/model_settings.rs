/// The parameters of the interference model, whose step is one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSettings {
    /// The number of workers.
    pub workers: usize,
    /// The number of services; each worker runs an executor of one service.
    pub services: usize,
    /// The number of kinds of batch tasks; each kind stands for one job.
    pub kinds: usize,
    /// The share of a worker's processors that batch tasks may take.
    pub batch_share: f64,
    /// The share of a worker's processors that a service takes at full load.
    pub service_share: f64,
    /// The mean arriving work, as a share of the processors that batch tasks may take.
    pub offered: f64,
    /// The probability that a kind of task slows a given service down noticeably.
    pub bad_pair_probability: f64,
    /// The maximum relative error of a measured latency.
    pub noise: f64,
    /// The minimum age of a measurement on arrival.
    pub lag_min_s: u64,
    /// The maximum age of a measurement on arrival.
    pub lag_max_s: u64,
    /// The time between measurements of one worker.
    pub measure_interval_s: u64,
    /// The time between waves; a wave is a batch of arrivals of one kind.
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
