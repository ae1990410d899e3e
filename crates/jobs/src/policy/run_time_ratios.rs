use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::model::QueueName;

/// The number of samples below which the clients' estimates apply unchanged. With estimates that are
/// off by up to 0.9, the mean of 20 samples is within a fifth of the long-term mean.
const SAMPLES_MIN: u32 = 20;
/// The number of recent samples that the mean and the spread cover. A queue with one job per second
/// renews them within half a minute.
const SAMPLES_COVERED: u32 = 200;
/// Limits the deviation of one sample from the mean, so that the few tasks that take seven times as
/// long as the others hardly move the mean.
const DEVIATION_MAX: f64 = 1.0;
/// Limits the ratio of a sample, and of a restored record.
const LN_RATIO_MAX: f64 = 3.0;
/// The factor by which estimates are off at most on the long side: by 0.9.
const UNKNOWN_SPREAD: f64 = 1.9;
/// Limits the queues in the stored record. A record with names of 100 bytes stays below 64 KiB.
const STORED_QUEUES_MAX: usize = 500;

/// How the run times of a queue relate to the estimates of its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeRatio {
    /// The typical ratio of measured to estimated run time.
    pub typical: f64,
    /// The factor by which two thirds of the ratios differ from the typical one at most; 1 or above.
    pub spread: f64,
}

impl Default for RunTimeRatio {
    /// Returns the ratio of estimates that are exact.
    fn default() -> Self {
        Self {
            typical: 1.0,
            spread: 1.0,
        }
    }
}

impl RunTimeRatio {
    /// Returns the expected run time for an estimate, in milliseconds.
    pub fn expected_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.typical
    }

    /// Returns a run time that few runs exceed, in milliseconds.
    pub fn long_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.typical * self.spread
    }

    /// Returns a run time that most runs exceed, in milliseconds.
    pub fn short_ms(&self, estimate_ms: f64) -> f64 {
        estimate_ms * self.typical / self.spread
    }
}

/// The learned ratio of one queue, as the next owner of the cell restores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedRunTime {
    /// The queue.
    pub queue: QueueName,
    /// The number of samples that the mean covers.
    pub samples: u32,
    /// The mean of the natural logarithms of the ratios.
    pub mean_ln: f64,
    /// The variance of the natural logarithms of the ratios.
    pub variance_ln: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct QueueRatio {
    samples: u32,
    mean_ln: f64,
    variance_ln: f64,
}

/// Learns the ratio of measured to estimated run time for each queue.
///
/// Logarithms are averaged, so that a run that takes half as long as estimated and one that takes
/// twice as long cancel out.
#[derive(Clone, Debug, Default)]
pub struct RunTimeRatios {
    queues: BTreeMap<QueueName, QueueRatio>,
}

impl RunTimeRatios {
    /// Adds the run time of a run that worked at full pace from its start to its completion.
    pub fn record(&mut self, queue: &QueueName, estimate_ms: u64, measured: Duration) {
        let ratio = measured.as_secs_f64() * 1_000.0 / estimate_ms as f64;
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let ln_ratio = ratio.ln().clamp(-LN_RATIO_MAX, LN_RATIO_MAX);
        let learned = self.queues.entry(queue.clone()).or_default();
        learned.add(ln_ratio);
    }

    /// Returns the learned ratio of a queue. Below a minimum number of samples, the estimates count
    /// as exact.
    pub fn ratio(&self, queue: &QueueName) -> RunTimeRatio {
        self.known_ratio(queue).unwrap_or_default()
    }

    /// Returns the learned ratio of a queue, or below the minimum number of samples one that covers the
    /// errors of most estimates.
    pub fn cautious_ratio(&self, queue: &QueueName) -> RunTimeRatio {
        let unknown = RunTimeRatio {
            typical: 1.0,
            spread: UNKNOWN_SPREAD,
        };
        self.known_ratio(queue).unwrap_or(unknown)
    }

    /// Returns the learned ratio of a queue, or `None` below the minimum number of samples.
    pub fn known_ratio(&self, queue: &QueueName) -> Option<RunTimeRatio> {
        let learned = self.queues.get(queue)?;
        (learned.samples >= SAMPLES_MIN).then(|| RunTimeRatio {
            typical: learned.mean_ln.exp(),
            spread: learned.variance_ln.sqrt().exp(),
        })
    }

    /// Exports the learned ratios, those with the most samples first.
    pub fn learned(&self) -> Vec<LearnedRunTime> {
        let entries = self.queues.iter().map(|(queue, learned)| LearnedRunTime {
            queue: queue.clone(),
            samples: learned.samples,
            mean_ln: learned.mean_ln,
            variance_ln: learned.variance_ln,
        });
        let mut entries: Vec<LearnedRunTime> = entries.collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.samples));
        entries.truncate(STORED_QUEUES_MAX);
        entries
    }

    /// Imports the ratios that a former owner learned. Entries that no samples can give are ignored.
    pub fn restore(&mut self, learned: Vec<LearnedRunTime>) {
        for entry in learned {
            let has_valid_mean = entry.mean_ln.abs() <= LN_RATIO_MAX;
            let has_valid_variance = (0.0..=LN_RATIO_MAX.powi(2)).contains(&entry.variance_ln);
            if has_valid_mean && has_valid_variance {
                let ratio = QueueRatio {
                    samples: entry.samples.min(SAMPLES_COVERED),
                    mean_ln: entry.mean_ln,
                    variance_ln: entry.variance_ln,
                };
                self.queues.insert(entry.queue, ratio);
            }
        }
    }
}

impl QueueRatio {
    fn add(&mut self, ln_ratio: f64) {
        let deviation = match self.samples {
            0..SAMPLES_MIN => ln_ratio - self.mean_ln,
            _ => (ln_ratio - self.mean_ln).clamp(-DEVIATION_MAX, DEVIATION_MAX),
        };
        self.samples = (self.samples + 1).min(SAMPLES_COVERED);
        let weight = 1.0 / f64::from(self.samples);
        self.mean_ln += weight * deviation;
        self.variance_ln = (1.0 - weight) * (self.variance_ln + weight * deviation.powi(2));
    }
}
