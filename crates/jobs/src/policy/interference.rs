use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::TaskId;

/// The tail of a serving image on an executor.
#[derive(Clone, Debug)]
pub struct TailRatio {
    /// What serves.
    pub image: ImageName,
    /// The worst tail, as a multiple of its target.
    pub ratio: f64,
}

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
    /// The tails, one for each serving image.
    pub tails: Vec<TailRatio>,
    /// For how long some tail has been over its target.
    pub over_for: Duration,
    /// The fillers.
    pub fillers: Vec<FillerSample>,
}

impl TailSample {
    /// Returns the worst tail as a multiple of its target; 0 if nothing serves.
    pub fn worst_ratio(&self) -> f64 {
        let ratios = self.tails.iter().map(|tail| tail.ratio);
        ratios.max_by(f64::total_cmp).unwrap_or(0.0)
    }
}

/// What is to be done about a tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailStep {
    /// Let a filler work at a share of its speed, in percent.
    Pace(TaskId, RunNumber, u32),
    /// Let a filler go on elsewhere if there is a better place, else stop its work here.
    Move(TaskId, RunNumber),
}

/// What a controller has learned, to be handed to the next owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedTails {
    /// Tails without fillers, as multiples of their targets.
    pub quiet_ratios: Vec<(ImageName, f64)>,
    /// The pressures of pairs.
    pub pressures: Vec<LearnedPressure>,
}

/// By how much a filling image raises the tail of a serving one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedPressure {
    /// What serves.
    pub serving: ImageName,
    /// What fills.
    pub filler: ImageName,
    /// The excess with all of an executor's processors, as a multiple of the target.
    pub weight: f64,
    /// The number of samples behind it.
    pub samples: u32,
}

/// Keeps serving tasks within their tails.
pub trait Interference: Send + Sync {
    /// Learns from a sample; times are milliseconds of a steady clock.
    fn learn(&mut self, sample: &TailSample, now_ms: u64);

    /// Returns what was learned.
    fn learned(&self, now_ms: u64) -> LearnedTails;

    /// Takes over what another controller has learned.
    fn restore(&mut self, learned: LearnedTails, now_ms: u64);

    /// Returns what to do.
    fn steps(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep>;

    /// Returns by how much a filler with all of an executor's processors would raise the tail of
    /// each serving image that it is known to disturb, as multiples of their targets.
    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)>;
}
