use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::ImageLoad;
use crate::fleet::Headroom;
use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::TaskId;

/// The tail latency of a serving task, relative to its target.
#[derive(Clone, Debug)]
pub struct TailRatio {
    /// The serving task.
    pub task: TaskId,
    /// The image that the task runs.
    pub image: ImageName,
    /// The tail latency as a multiple of its target; above 1 the target is missed.
    pub ratio: f64,
}

/// A filler that shares an executor with serving tasks.
#[derive(Clone, Debug)]
pub struct FillerSample {
    /// The filler task.
    pub task: TaskId,
    /// The run of the task on this executor.
    pub run: RunNumber,
    /// The image that the task runs, if the client named one.
    pub image: Option<ImageName>,
    /// The part of the executor's processors that the filler would use at full pace, 0 to 1.
    pub cpu_share: f64,
    /// The share of its full speed at which the filler may run, 0 to 100.
    pub pace_percent: u32,
    /// For how long the filler has been paused.
    pub paused_for: Duration,
    /// Whether the task can continue on another executor from a checkpoint.
    pub can_move: bool,
}

/// One measurement of the serving tasks of an executor, and the fillers beside them.
#[derive(Clone, Debug)]
pub struct TailSample {
    /// The tail latencies, one for each serving task.
    pub tails: Vec<TailRatio>,
    /// The mean part of the executor's processors that fillers of each image used while the tails
    /// were measured, 0 to 1.
    pub filler_shares: Vec<(ImageName, f64)>,
    /// Whether no filler was paced shortly before or while the tails were measured.
    pub is_settled: bool,
    /// The time for which some tail has been over its target.
    pub over_target_for: Duration,
    /// The fillers that run on the executor now.
    pub fillers: Vec<FillerSample>,
}

impl TailSample {
    /// Returns the worst tail as a multiple of its target; 0 without serving tasks.
    pub fn worst_ratio(&self) -> f64 {
        let ratios = self.tails.iter().map(|tail| tail.ratio);
        ratios.max_by(f64::total_cmp).unwrap_or(0.0)
    }
}

/// A change to a filler that protects the tail latency of the serving tasks beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillerAction {
    /// Sets the share of its full speed at which a filler may run, in percent.
    Pace(TaskId, RunNumber, u32),
    /// Moves a filler to a better executor, or pauses the filler if there is none.
    Move(TaskId, RunNumber),
}

/// The learned state of a controller, which the next owner of the cell restores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// The loads of serving images.
    pub images: Vec<(ImageName, ImageLoad)>,
    /// The interference of pairs of images.
    pub pressures: Vec<LearnedPressure>,
}

/// The interference of a filler image with a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedPressure {
    /// The serving image.
    pub serving: ImageName,
    /// The filler image.
    pub filler: ImageName,
    /// The extra utilization that the filler would cause with all processors of an executor.
    pub mean: f64,
    /// The variance of the estimate.
    pub variance: f64,
}

/// Keeps serving tasks within their tail latency targets by slowing down or moving fillers.
///
/// All times are milliseconds of a monotonic clock.
pub trait InterferenceController: Send + Sync {
    /// Updates the learned loads and pressures from a sample.
    fn learn(&mut self, sample: &TailSample, now_ms: u64);

    /// Exports the learned state, for the next owner of the cell.
    fn learned(&self, now_ms: u64) -> LearnedInterference;

    /// Imports the state that another controller has learned.
    fn restore(&mut self, learned: LearnedInterference, now_ms: u64);

    /// Returns the actions that the sample calls for; a filler without an action keeps its pace.
    fn actions(&self, sample: &TailSample, now_ms: u64) -> Vec<FillerAction>;

    /// Returns the headroom of each serving image of the sample.
    fn headroom(&self, sample: &TailSample, now_ms: u64) -> Vec<Headroom>;

    /// Returns the interference of a filler image by serving image, without those that are zero.
    ///
    /// It is the extra utilization that the filler would cause with all processors of an executor,
    /// with a margin for the error of the estimate.
    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)>;

    /// Returns how much other serving images differ from one in the fillers that they tolerate: from 0,
    /// if the same fillers disturb both, to 1.
    fn dissimilarities(&self, serving: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)>;
}
