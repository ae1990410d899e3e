use std::time::Duration;

use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::TaskId;

/// A filler beside tasks that serve.
#[derive(Clone, Debug)]
pub struct FillerSample {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// What it runs.
    pub image: Option<ImageName>,
    /// The part of the executor's processors that it would use at full pace, 0 to 1.
    pub cpu_share: f64,
    /// The share at which it may work, 0 to 100.
    pub pace_percent: u32,
    /// Whether it could go on elsewhere from a saved state.
    pub can_move: bool,
}

/// The tails of the serving tasks of one executor, and what works beside them.
#[derive(Clone, Debug)]
pub struct TailSample {
    /// The worst tail, as a multiple of its target.
    pub worst_ratio: f64,
    /// For how long some tail has been over its target.
    pub over_for: Duration,
    /// The fillers.
    pub fillers: Vec<FillerSample>,
}

/// What is to be done about a tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailStep {
    /// Let a filler work at a share of its speed, in percent.
    Pace(TaskId, RunNumber, u32),
    /// Let a filler go on elsewhere if there is room, else stop its work here.
    Move(TaskId, RunNumber),
}

/// Keeps serving tasks within their tails.
pub trait Interference: Send + Sync {
    /// Learns from a sample; times are milliseconds of a steady clock.
    fn learn(&mut self, sample: &TailSample, now_ms: u64);

    /// Returns what to do.
    fn steps(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep>;

    /// Returns by how much a filler would raise the tail ratio at the given processor share.
    fn predicted_excess(&self, image: Option<&ImageName>, cpu_share: f64, now_ms: u64) -> f64;
}
