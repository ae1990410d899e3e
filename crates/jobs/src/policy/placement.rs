use crate::fleet::Executor;
use crate::model::ImageName;
use crate::model::StepSpec;

/// The extra utilization that a serving image tolerates before its first report.
const UNREPORTED_HEADROOM: f64 = 0.06;

/// A task that needs an executor.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step of the task.
    pub step: &'a StepSpec,
    /// The interference of the task by serving image: the extra utilization that the task would
    /// cause with all processors of an executor.
    pub pressures: &'a [(ImageName, f64)],
    /// For a serving task, how much other serving images differ from its own in the fillers that they
    /// tolerate, 0 to 1; images that are not listed differ as much as possible.
    pub dissimilarities: &'a [(ImageName, f64)],
    /// Whether the task may be placed where its extra load exceeds the headroom, because it has
    /// waited long enough for a better place.
    pub may_interfere: bool,
    /// Whether the task may be placed where its extra load fits only until the load of the serving
    /// tasks rises.
    pub may_be_interrupted: bool,
}

/// Whether a filler's extra load fits the headroom of the serving tasks on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// The extra load exceeds the headroom now.
    Harmful,
    /// The extra load fits until the load of the serving tasks rises.
    AtCurrentLoad,
    /// The extra load fits even at the peak load of the serving tasks.
    AtPeakLoad,
}

impl PlacementRequest<'_> {
    /// Compares the extra load of the task with the headroom of each serving image on an executor,
    /// and returns the worst fit.
    pub fn fit_on(&self, executor: &Executor) -> Fit {
        let share = self.cpu_share_of(executor);
        let served = self
            .pressures
            .iter()
            .filter(|(image, _)| executor.serves(image));
        let fits = served.map(|(image, weight)| {
            let headroom = executor.headroom_of(image);
            let (at_current_load, at_peak_load) = headroom
                .map_or((UNREPORTED_HEADROOM, UNREPORTED_HEADROOM), |headroom| {
                    (headroom.at_current_load, headroom.at_peak_load)
                });
            let extra_load = weight * share;
            if extra_load <= at_peak_load {
                Fit::AtPeakLoad
            } else if extra_load <= at_current_load {
                Fit::AtCurrentLoad
            } else {
                Fit::Harmful
            }
        });
        fits.min().unwrap_or(Fit::AtPeakLoad)
    }

    /// Returns the largest dissimilarity between the serving images on an executor and that of the task;
    /// 0 if no other image is served there.
    pub fn dissimilarity_on(&self, executor: &Executor) -> f64 {
        let others = executor
            .serving_images()
            .filter(|other| self.step.image.as_ref() != Some(*other));
        let values = others.map(|other| {
            let known = self
                .dissimilarities
                .iter()
                .find(|(image, _)| image == other);
            known.map_or(1.0, |(_, dissimilarity)| *dissimilarity)
        });
        values.fold(0.0, f64::max)
    }

    fn cpu_share_of(&self, executor: &Executor) -> f64 {
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        self.step.need.cpu_milli.0 as f64 / capacity_milli
    }

    /// Returns the largest extra utilization that the task would cause to a serving image on an
    /// executor.
    pub fn extra_load_on(&self, executor: &Executor) -> f64 {
        self.extra_load(executor, |image| executor.serves(image))
    }

    /// Returns the largest extra utilization that the task would cause to any known serving image on
    /// an executor of this size.
    pub fn worst_extra_load(&self, executor: &Executor) -> f64 {
        self.extra_load(executor, |_| true)
    }

    fn extra_load(&self, executor: &Executor, is_included: impl Fn(&ImageName) -> bool) -> f64 {
        let share = self.cpu_share_of(executor);
        let affected = self
            .pressures
            .iter()
            .filter(|(image, _)| is_included(image));
        let extra_loads = affected.map(|(_, weight)| weight * share);
        extra_loads.fold(0.0, f64::max)
    }
}

/// Scores executors for a task.
pub trait PlacementPolicy: Send + Sync {
    /// Returns the score of an executor, higher is better, or `None` if the task must not run
    /// there.
    fn score(&self, request: &PlacementRequest<'_>, executor: &Executor) -> Option<f64>;
}
