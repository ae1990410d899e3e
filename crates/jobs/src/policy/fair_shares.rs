use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The time over which served work counts. With 4 s, twice as many jobs of calm flows became late beside
/// a burst of 6 s.
const RECENT_MS: f64 = 2_000.0;
/// The time over which arrivals count as usual. The longest burst of 2.6 times the usual rate for 7 s
/// raises the usual rate by a fifth.
const USUAL_MS: f64 = 60_000.0;
/// The time after which the observed shares of the flows outweigh equal shares, several swings of the
/// arrival rates.
const WARM_UP_MS: f64 = 30_000.0;
/// The smallest share of a flow, as a part of an equal share, so that a flow that was idle may begin.
const SHARE_MIN: f64 = 0.25;
/// The highest level of excess.
const LEVEL_MAX: u32 = 8;
const LEVEL_STEP: f64 = 0.25;

/// A sum whose older parts decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    value: f64,
    updated_ms: u64,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, decay_ms: f64, now_ms: u64) {
        self.value = self.at(decay_ms, now_ms) + amount;
        self.updated_ms = now_ms;
    }

    fn at(&self, decay_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.value * (-age_ms / decay_ms).exp()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    arrived: DecayingSum,
    served: DecayingSum,
}

/// What is known of the flows, for the next owner of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedFlows<F> {
    /// How long arrivals have been observed, in milliseconds.
    pub observed_ms: u64,
    /// Each flow with its decaying sums of arrived and of served work.
    pub flows: Vec<(F, f64, f64)>,
}

/// Tells which flows of work take more than their usual share of the capacity.
///
/// A flow is a part of the work of a queue, such as what enters through one failure domain. All work
/// has the same unit; all times are milliseconds of a monotonic clock.
#[derive(Clone, Debug)]
pub struct FairShares<F> {
    flows: BTreeMap<F, Flow>,
    arrived: DecayingSum,
    since_ms: Option<u64>,
    /// How long former owners have observed arrivals.
    observed_before_ms: u64,
}

impl<F> Default for FairShares<F> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            arrived: DecayingSum::default(),
            since_ms: None,
            observed_before_ms: 0,
        }
    }
}

impl<F: Clone + Ord> FairShares<F> {
    /// Adds work that arrived.
    pub fn record_arrival(&mut self, flow: &F, work: f64, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.arrived.add(work, USUAL_MS, now_ms);
        self.flow_mut(flow).arrived.add(work, USUAL_MS, now_ms);
    }

    /// Adds work that was placed.
    pub fn record_served(&mut self, flow: &F, work: f64, now_ms: u64) {
        self.flow_mut(flow).served.add(work, RECENT_MS, now_ms);
    }

    /// Exports what is known of the flows.
    pub fn learned(&self, now_ms: u64) -> LearnedFlows<F> {
        let flows = self.flows.iter().map(|(name, flow)| {
            let arrived = flow.arrived.at(USUAL_MS, now_ms);
            (name.clone(), arrived, flow.served.at(RECENT_MS, now_ms))
        });
        LearnedFlows {
            observed_ms: self.observed_ms(now_ms),
            flows: flows.collect(),
        }
    }

    /// Imports what a former owner knew. Sums that no work can give are ignored.
    pub fn restore(&mut self, learned: LearnedFlows<F>, now_ms: u64) {
        self.observed_before_ms = learned.observed_ms;
        let is_valid = |sum: f64| sum.is_finite() && sum >= 0.0;
        for (name, arrived, served) in learned.flows {
            if is_valid(arrived) && is_valid(served) {
                self.record_arrival(&name, arrived, now_ms);
                self.record_served(&name, served, now_ms);
            }
        }
    }

    /// Returns by how much the next work of a flow exceeds the flow's usual share, if `ahead` is the
    /// waiting work before it: 0 up to the usual work, then one more for each quarter of it.
    pub fn excess_level(&self, flow: &F, ahead: f64, now_ms: u64) -> u32 {
        let usual = self.usual_work(flow, now_ms);
        if usual <= 0.0 {
            return 0;
        }
        let served = self
            .flows
            .get(flow)
            .map_or(0.0, |flow| flow.served.at(RECENT_MS, now_ms));
        let multiple = (served + ahead) / usual;
        let level = ((multiple - 1.0) / LEVEL_STEP).max(0.0);
        level.min(f64::from(LEVEL_MAX)) as u32
    }

    /// Returns the work of a flow that usually arrives in the time over which served work counts.
    fn usual_work(&self, flow: &F, now_ms: u64) -> f64 {
        let observed_ms = (self.observed_ms(now_ms) as f64).max(RECENT_MS);
        let weight_ms = USUAL_MS * (1.0 - (-observed_ms / USUAL_MS).exp());
        let recent_work = |sum: &DecayingSum| sum.at(USUAL_MS, now_ms) * RECENT_MS / weight_ms;
        let equal = recent_work(&self.arrived) / self.flows.len().max(1) as f64;
        let own = self
            .flows
            .get(flow)
            .map_or(0.0, |flow| recent_work(&flow.arrived));
        let trust = 1.0 - (-observed_ms / WARM_UP_MS).exp();
        (trust * own + (1.0 - trust) * equal).max(SHARE_MIN * equal)
    }

    fn observed_ms(&self, now_ms: u64) -> u64 {
        let own_ms = self
            .since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        self.observed_before_ms.saturating_add(own_ms)
    }

    fn flow_mut(&mut self, flow: &F) -> &mut Flow {
        self.flows.entry(flow.clone()).or_default()
    }
}
