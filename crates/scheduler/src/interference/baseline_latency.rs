use std::collections::BTreeMap;

use dotterelhook_types::ids::ServiceName;

use super::ServiceSample;

/// Buckets per unit of load; a load of 1 is the declared size.
const LOAD_BUCKETS_PER_UNIT: f64 = 10.0;
const LOAD_BUCKET_MAX: u8 = 20;
/// Quantile of the samples that the baseline follows.
const BASELINE_QUANTILE: f64 = 0.2;
/// Relative change of a baseline that one sample causes, before weighting by the quantile.
const BASELINE_STEP: f64 = 0.02;
const SERVICES_MAX: usize = 1_000;

/// Baseline latency of each service by load: its latency with little batch work beside it.
///
/// The baseline is estimated as a low quantile of the samples. When the number of services
/// exceeds a bound, the first by name is dropped.
#[derive(Clone, Debug, Default)]
pub struct BaselineLatency {
    baselines_us: BTreeMap<ServiceName, BTreeMap<u8, f64>>,
}

impl BaselineLatency {
    /// Updates the baseline with a sample and returns the sample's excess over the baseline, as a
    /// fraction: 0.1 means 10 % slower.
    pub fn measure_excess(&mut self, sample: &ServiceSample) -> f64 {
        if !self.baselines_us.contains_key(&sample.service)
            && self.baselines_us.len() == SERVICES_MAX
        {
            self.baselines_us.pop_first();
        }
        let by_load = self.baselines_us.entry(sample.service.clone()).or_default();
        let load_bucket =
            (sample.load * LOAD_BUCKETS_PER_UNIT).clamp(0.0, f64::from(LOAD_BUCKET_MAX)) as u8;
        let baseline_us = by_load.entry(load_bucket).or_insert(sample.latency_us);
        if sample.latency_us > *baseline_us {
            *baseline_us *= 1.0 + BASELINE_STEP * BASELINE_QUANTILE;
        } else {
            *baseline_us *= 1.0 - BASELINE_STEP * (1.0 - BASELINE_QUANTILE);
        }
        sample.latency_us / *baseline_us - 1.0
    }
}
