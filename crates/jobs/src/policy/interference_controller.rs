use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Headroom;
use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::TaskId;

/// The tail of a serving task.
#[derive(Clone, Debug)]
pub struct TailRatio {
    /// The task.
    pub task: TaskId,
    /// What it runs.
    pub image: ImageName,
    /// The tail, as a multiple of its target.
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
    /// The tails, one for each serving task.
    pub tails: Vec<TailRatio>,
    /// The part of the executor's processors that fillers of each image worked with while the
    /// tails were measured, 0 to 1.
    pub filler_shares: Vec<(ImageName, f64)>,
    /// For how long some tail has been over its target.
    pub over_target_for: Duration,
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
pub enum FillerAction {
    /// Let a filler work at a share of its speed, in percent.
    Pace(TaskId, RunNumber, u32),
    /// Let a filler go on elsewhere if there is a better place, else stop its work here.
    Move(TaskId, RunNumber),
}

/// What a controller has learned, to be handed to the next owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// What is known of serving images.
    pub images: Vec<(ImageName, ImageLoad)>,
    /// The pressures of pairs.
    pub pressures: Vec<LearnedPressure>,
}

/// How heavily the tasks of a serving image are loaded by their own users, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImageLoad {
    /// The mean.
    pub usual: f64,
    /// The most of late.
    pub peak: f64,
    /// The tail without any load, as a multiple of the target.
    pub idle_ratio: f64,
}

/// By how much a filling image raises the load of a serving one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedPressure {
    /// What serves.
    pub serving: ImageName,
    /// What fills.
    pub filler: ImageName,
    /// The extra load with all of an executor's processors, as a multiple of the task's own.
    pub weight: f64,
    /// The number of samples behind it.
    pub samples: u32,
}

/// Keeps serving tasks within their tails.
pub trait InterferenceController: Send + Sync {
    /// Learns from a sample; times are milliseconds of a steady clock.
    fn learn(&mut self, sample: &TailSample, now_ms: u64);

    /// Returns what was learned.
    fn learned(&self, now_ms: u64) -> LearnedInterference;

    /// Takes over what another controller has learned.
    fn restore(&mut self, learned: LearnedInterference, now_ms: u64);

    /// Returns what to do.
    fn actions(&self, sample: &TailSample, now_ms: u64) -> Vec<FillerAction>;

    /// Returns what each serving image of the sample bears further.
    fn headroom(&self, sample: &TailSample, now_ms: u64) -> Vec<Headroom>;

    /// Returns by how much a filler with all of an executor's processors would raise the load of
    /// each serving image that it is known to disturb, as multiples of their own loads.
    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)>;
}
