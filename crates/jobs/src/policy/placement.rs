use crate::fleet::Executor;
use crate::model::ImageName;
use crate::model::StepSpec;

/// What an executor is sought for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step of the task.
    pub step: &'a StepSpec,
    /// By how much the task would raise the tails of serving images with all of an executor's
    /// processors, as multiples of their targets.
    pub pressures: &'a [(ImageName, f64)],
    /// Whether it may go where it disturbs, since it has waited long enough for a better place.
    pub may_disturb: bool,
}

impl PlacementRequest<'_> {
    /// Returns by how much the task would raise the tails on an executor.
    pub fn excess_on(&self, executor: &Executor) -> f64 {
        self.excess(executor, |image| executor.serves(image))
    }

    /// Returns by how much the task would raise tails on an executor of this size that served
    /// everything.
    pub fn excess_anywhere(&self, executor: &Executor) -> f64 {
        self.excess(executor, |_| true)
    }

    fn excess(&self, executor: &Executor, counts: impl Fn(&ImageName) -> bool) -> f64 {
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        let share = self.step.need.cpu_milli.0 as f64 / capacity_milli;
        let disturbed = self.pressures.iter().filter(|(image, _)| counts(image));
        let excesses = disturbed.map(|(_, weight)| weight * share);
        excesses.fold(0.0, f64::max)
    }
}

/// Decides where a task goes.
pub trait Placement: Send + Sync {
    /// Returns how well an executor suits, or `None` if the task must not go there.
    fn score(&self, request: &PlacementRequest<'_>, executor: &Executor) -> Option<f64>;
}
