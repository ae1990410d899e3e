use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The result of one load run; latencies count from the intended start of each request.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// The name of the run.
    pub name: Box<str>,
    /// The configured arrival rate.
    pub offered_per_second: f64,
    /// Good answers per second of the run; a good answer is a success that echoes the request.
    pub goodput_per_second: f64,
    /// The median latency of good answers.
    pub p50_us: u64,
    /// The 99th percentile of the latency of good answers.
    pub p99_us: u64,
    /// The 99.9th percentile of the latency of good answers.
    pub p999_us: u64,
    /// The number of other answers by status and verdict, and of failed exchanges by cause.
    pub answers: BTreeMap<Box<str>, u64>,
    /// Successful answers whose body belongs to another request.
    pub wrong_answers: u64,
}

impl LoadReport {
    /// Creates the report of a run from its duration and the latencies of its good answers.
    pub fn new(
        name: &str,
        offered_per_second: f64,
        duration: Duration,
        latencies_us: &Histogram<u64>,
    ) -> Self {
        Self {
            name: name.into(),
            offered_per_second,
            goodput_per_second: latencies_us.len() as f64 / duration.as_secs_f64(),
            p50_us: latencies_us.value_at_quantile(0.50),
            p99_us: latencies_us.value_at_quantile(0.99),
            p999_us: latencies_us.value_at_quantile(0.999),
            answers: BTreeMap::new(),
            wrong_answers: 0,
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<10} {:>9.0}/s offered {:>9.0}/s good  p50 {:>7} us  p99 {:>7} us  p99.9 {:>7} us",
            self.name,
            self.offered_per_second,
            self.goodput_per_second,
            self.p50_us,
            self.p99_us,
            self.p999_us
        )?;
        for (answer, count) in &self.answers {
            write!(f, "\n  {count:>9} {answer}")?;
        }
        if self.wrong_answers > 0 {
            write!(f, "\n  {:>9} wrong answers", self.wrong_answers)?;
        }
        Ok(())
    }
}
