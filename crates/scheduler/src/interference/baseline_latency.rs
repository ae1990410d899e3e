use std::collections::BTreeMap;

use dotterelhook_types::ids::ServiceName;

use super::ServiceSample;

const LOAD_STEPS: f64 = 10.0;
const LOAD_STEPS_MAX: u8 = 20;
const QUIET_QUANTILE: f64 = 0.2;
const STEP_SIZE: f64 = 0.02;
const SERVICES_MAX: usize = 1_000;

/// The latency of each service when little runs beside it, by the service's load.
#[derive(Clone, Debug, Default)]
pub struct BaselineLatency {
    latency_us: BTreeMap<ServiceName, BTreeMap<u8, f64>>,
}

impl BaselineLatency {
    /// Takes a sample and returns by which share it exceeds the quiet latency.
    pub fn measure_excess(&mut self, sample: &ServiceSample) -> f64 {
        if !self.latency_us.contains_key(&sample.service) && self.latency_us.len() == SERVICES_MAX {
            self.latency_us.pop_first();
        }
        let by_load = self.latency_us.entry(sample.service.clone()).or_default();
        let load_step = (sample.load * LOAD_STEPS).clamp(0.0, f64::from(LOAD_STEPS_MAX)) as u8;
        let quiet_us = by_load.entry(load_step).or_insert(sample.latency_us);
        if sample.latency_us > *quiet_us {
            *quiet_us *= 1.0 + STEP_SIZE * QUIET_QUANTILE;
        } else {
            *quiet_us *= 1.0 - STEP_SIZE * (1.0 - QUIET_QUANTILE);
        }
        sample.latency_us / *quiet_us - 1.0
    }
}
