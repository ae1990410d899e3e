use crate::fleet::Executor;
use crate::model::StepSpec;

/// What an executor is sought for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step of the task.
    pub step: &'a StepSpec,
    /// By how much the task would raise the tails beside it with all of an executor's
    /// processors, as a multiple of their targets.
    pub pressure: f64,
}

/// Decides where a task goes.
pub trait Placement: Send + Sync {
    /// Returns how well an executor suits, or `None` if the task must not go there.
    fn score(&self, request: &PlacementRequest<'_>, executor: &Executor) -> Option<f64>;
}
