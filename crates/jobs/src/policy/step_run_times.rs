use std::collections::BTreeMap;

use super::RunTimeRatio;
use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::JobId;
use crate::model::TaskId;

/// The variance of the logarithm of run times within a step on equal executors: run times within a queue
/// differ by a fifth, and a few tasks take seven times as long.
const STEP_VARIANCE: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct LnSum {
    runs: u32,
    sum_ln_ms: f64,
}

impl LnSum {
    fn add(&mut self, ln_ms: f64) {
        self.runs += 1;
        self.sum_ln_ms += ln_ms;
    }
}

#[derive(Clone, Debug, Default)]
struct StepSums {
    all: LnSum,
    by_executor: BTreeMap<ExecutorId, LnSum>,
}

/// The run times of the steps of active jobs, which compare executors: the tasks of a step have one
/// estimate, and so its error cancels out.
#[derive(Clone, Debug, Default)]
pub struct StepRunTimes {
    steps: BTreeMap<(JobId, StepRef), StepSums>,
}

impl StepRunTimes {
    /// Adds a run and returns its slowdown compared with earlier runs of its step on other executors, and
    /// the variance of such figures. Without such runs, compares with the estimate and the ratio of the
    /// queue, if it is known.
    pub fn record(
        &mut self,
        task: TaskId,
        executor: &ExecutorId,
        measured_ms: f64,
        estimate_ms: u64,
        run_time: Option<RunTimeRatio>,
    ) -> Option<(f64, f64)> {
        let ln_ms = measured_ms.max(1.0).ln();
        let sums = self.steps.entry((task.job, task.into())).or_default();
        let own = sums.by_executor.entry(executor.clone()).or_default();
        let other_runs = sums.all.runs - own.runs;
        let sample = if other_runs > 0 {
            let other_mean = (sums.all.sum_ln_ms - own.sum_ln_ms) / f64::from(other_runs);
            let variance = STEP_VARIANCE * (1.0 + 1.0 / f64::from(other_runs));
            Some((ln_ms - other_mean, variance))
        } else {
            run_time.map(|run_time| {
                let expected_ms = run_time.expected_ms(estimate_ms.max(1) as f64);
                let variance = STEP_VARIANCE + run_time.spread.ln().powi(2);
                (ln_ms - expected_ms.ln(), variance)
            })
        };
        own.add(ln_ms);
        sums.all.add(ln_ms);
        sample
    }

    /// Forgets the steps of a job that has ended.
    pub fn remove_job(&mut self, job: JobId) {
        let first = StepRef {
            occurrence: 0,
            step: 0,
        };
        let last = StepRef {
            occurrence: u32::MAX,
            step: u32::MAX,
        };
        let range = (job, first)..=(job, last);
        let keys: Vec<(JobId, StepRef)> = self.steps.range(range).map(|(key, _)| *key).collect();
        for key in keys {
            self.steps.remove(&key);
        }
    }
}
