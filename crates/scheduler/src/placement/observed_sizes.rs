use std::collections::BTreeMap;

use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::MemoryMb;
use dotterelhook_types::sizes::Resources;

use super::JobKey;

const JOBS_MAX: usize = 10_000;
const DECAY_DIVISOR: u64 = 64;

/// Says how much is reserved for a task of a job.
pub trait SizeEstimator: Send + Sync {
    /// Returns the size to reserve; never less than the declared one.
    fn size(&self, job: &JobKey, declared: &Resources) -> Resources;
}

/// Trusts each declared size.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeclaredSizes;

impl SizeEstimator for DeclaredSizes {
    fn size(&self, _job: &JobKey, declared: &Resources) -> Resources {
        *declared
    }
}

/// The recent peak of each job's usage; at most 10,000 jobs are kept.
#[derive(Clone, Debug, Default)]
pub struct ObservedSizes {
    peaks: BTreeMap<JobKey, Resources>,
}

impl ObservedSizes {
    /// Takes what one task of the job used; a lower use pulls the peak down slowly.
    pub fn record(&mut self, job: &JobKey, used: &Resources) {
        if let Some(peak) = self.peaks.get_mut(job) {
            peak.cpu_milli = CpuMilli(follow(peak.cpu_milli.0, used.cpu_milli.0));
            peak.memory_mb = MemoryMb(follow(peak.memory_mb.0, used.memory_mb.0));
        } else if self.peaks.len() < JOBS_MAX {
            self.peaks.insert(job.clone(), *used);
        }
    }

    /// Forgets the jobs that `is_kept` does not hold for.
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

fn follow(peak: u64, used: u64) -> u64 {
    used.max(peak - peak.abs_diff(used).min(peak) / DECAY_DIVISOR)
}
