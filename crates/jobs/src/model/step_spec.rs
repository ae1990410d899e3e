use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::ImageName;
use super::Label;

/// One step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// The client's estimate of a task's run time, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all have ended well.
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks work only together and end together.
    pub is_gang: bool,
    /// Whether the gang is slower on more than one rack.
    pub same_rack: bool,
    /// A label that the executor must have.
    pub required_label: Option<Label>,
    /// The rack that holds the step's data; tasks are slower elsewhere.
    pub preferred_rack: Option<Label>,
    /// The most tasks of the step on one executor.
    pub per_executor_max: Option<u32>,
    /// Whether copies of a task may run at once.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// What the tasks run.
    pub image: Option<ImageName>,
    /// The tail of response times that a serving task must keep, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use the processor time that others leave, outside the capacity account.
    pub is_filler: bool,
    /// How many tasks of a long-running step may be away at once through our own orders.
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Returns what a task takes from the executor's capacity account.
    pub fn reserved(&self) -> Resources {
        let mut reserved = self.need;
        if self.is_filler {
            reserved.cpu_milli.0 = 0;
        }
        reserved
    }
}
