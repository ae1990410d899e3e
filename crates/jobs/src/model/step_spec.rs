use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::ImageName;
use super::Label;

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The client's estimate of a task's run time, in milliseconds; often inaccurate.
    pub estimate_ms: u64,
    /// The numbers of earlier steps whose tasks must all have succeeded.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: they only work together, and they end together.
    pub is_gang: bool,
    /// Whether a gang runs slower when spread over more than one rack.
    pub same_rack: bool,
    /// A label that the executor must have.
    pub required_label: Option<Label>,
    /// The rack that holds the step's data; tasks run slower on other racks.
    pub preferred_rack: Option<Label>,
    /// Limits the tasks of the step on one executor.
    pub per_executor_max: Option<u32>,
    /// Whether the client permits concurrent copies of a task.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// The program of the tasks.
    pub image: Option<ImageName>,
    /// The tail latency objective of a serving task, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks only use processor time that others leave idle. Such a task reserves no
    /// processor time.
    pub is_filler: bool,
    /// Limits the tasks of a long-running step that the scheduler itself may stop at the same
    /// time.
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Returns the memory that the specification takes.
    pub fn memory_bytes(&self) -> usize {
        let labels = [&self.required_label, &self.preferred_rack];
        let labels_bytes: usize = labels
            .into_iter()
            .flatten()
            .map(|label| label.as_str().len())
            .sum();
        let image_bytes = self.image.as_ref().map_or(0, |image| image.as_str().len());
        size_of::<Self>() + size_of_val(&*self.after) + labels_bytes + image_bytes
    }

    /// Returns the resources that a task reserves on its executor; no processor time for a filler.
    pub fn reserved(&self) -> Resources {
        let mut reserved = self.need;
        if self.is_filler {
            reserved.cpu_milli.0 = 0;
        }
        reserved
    }
}
