use std::collections::BTreeMap;

use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::MemoryMb;
use dotterelhook_types::sizes::Resources;

use super::JobKey;

const TRACKED_JOBS_MAX: usize = 10_000;
/// A sample below the peak lowers the peak by their difference divided by this.
const PEAK_DECAY_DIVISOR: u64 = 64;

/// Decides how many resources are reserved for a task of a job.
pub trait SizeEstimator: Send + Sync {
    /// Returns the size to reserve; at least the declared size in every resource.
    fn size(&self, job: &JobKey, declared: &Resources) -> Resources;
}

/// Reserves the declared size of each task.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeclaredSizes;

impl SizeEstimator for DeclaredSizes {
    fn size(&self, _job: &JobKey, declared: &Resources) -> Resources {
        *declared
    }
}

/// Reserves at least the recent peak usage of each job.
///
/// At most 10,000 jobs are tracked; further jobs are reserved by their declared size.
#[derive(Clone, Debug, Default)]
pub struct ObservedSizes {
    peaks: BTreeMap<JobKey, Resources>,
}

impl ObservedSizes {
    /// Records the usage of one task of the job.
    ///
    /// Higher usage raises the peak at once, lower usage lowers the peak slowly.
    pub fn record(&mut self, job: &JobKey, used: &Resources) {
        if let Some(peak) = self.peaks.get_mut(job) {
            peak.cpu_milli = CpuMilli(updated_peak(peak.cpu_milli.0, used.cpu_milli.0));
            peak.memory_mb = MemoryMb(updated_peak(peak.memory_mb.0, used.memory_mb.0));
        } else if self.peaks.len() < TRACKED_JOBS_MAX {
            self.peaks.insert(job.clone(), *used);
        }
    }

    /// Drops the jobs for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&JobKey) -> bool) {
        self.peaks.retain(|job, _| is_kept(job));
    }
}

impl SizeEstimator for ObservedSizes {
    fn size(&self, job: &JobKey, declared: &Resources) -> Resources {
        let peak = self.peaks.get(job).copied().unwrap_or_default();
        Resources {
            cpu_milli: declared.cpu_milli.max(peak.cpu_milli),
            memory_mb: declared.memory_mb.max(peak.memory_mb),
            accelerators: declared.accelerators,
        }
    }
}

fn updated_peak(peak: u64, used: u64) -> u64 {
    used.max(peak - peak.abs_diff(used).min(peak) / PEAK_DECAY_DIVISOR)
}
