use crate::fleet::Executor;
use crate::model::ImageName;
use crate::model::StepSpec;

/// The extra load that a serving image bears before its first report, as a multiple of its own.
const UNREPORTED: f64 = 0.15;

/// What an executor is sought for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step of the task.
    pub step: &'a StepSpec,
    /// By how much the task would raise the loads of serving images with all of an executor's
    /// processors, as multiples of their own loads.
    pub pressures: &'a [(ImageName, f64)],
    /// Whether it may go where it disturbs, since it has waited long enough for a better place.
    pub may_interfere: bool,
}

/// How long a filler may work beside what serves on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// It would disturb now.
    Harmful,
    /// At the present load.
    AtCurrentLoad,
    /// At any load.
    AtPeakLoad,
}

impl PlacementRequest<'_> {
    /// Returns how long the task may work beside what serves on an executor.
    pub fn fit_on(&self, executor: &Executor) -> Fit {
        let share = self.share_of(executor);
        let served = self
            .pressures
            .iter()
            .filter(|(image, _)| executor.serves(image));
        let fits = served.map(|(image, weight)| {
            let headroom = executor.headroom_of(image);
            let (now, lasting) = headroom.map_or((UNREPORTED, UNREPORTED), |headroom| {
                (headroom.at_current_load, headroom.at_peak_load)
            });
            let extra = weight * share;
            if extra <= lasting {
                Fit::AtPeakLoad
            } else if extra <= now {
                Fit::AtCurrentLoad
            } else {
                Fit::Harmful
            }
        });
        fits.min().unwrap_or(Fit::AtPeakLoad)
    }

    fn share_of(&self, executor: &Executor) -> f64 {
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        self.step.need.cpu_milli.0 as f64 / capacity_milli
    }

    /// Returns by how much the task would raise the loads on an executor.
    pub fn extra_load_on(&self, executor: &Executor) -> f64 {
        self.excess(executor, |image| executor.serves(image))
    }

    /// Returns by how much the task would raise loads on an executor of this size that served
    /// everything.
    pub fn excess_anywhere(&self, executor: &Executor) -> f64 {
        self.excess(executor, |_| true)
    }

    fn excess(&self, executor: &Executor, counts: impl Fn(&ImageName) -> bool) -> f64 {
        let share = self.share_of(executor);
        let disturbed = self.pressures.iter().filter(|(image, _)| counts(image));
        let excesses = disturbed.map(|(_, weight)| weight * share);
        excesses.fold(0.0, f64::max)
    }
}

/// Decides where a task goes.
pub trait PlacementPolicy: Send + Sync {
    /// Returns how well an executor suits, or `None` if the task must not go there.
    fn score(&self, request: &PlacementRequest<'_>, executor: &Executor) -> Option<f64>;
}
