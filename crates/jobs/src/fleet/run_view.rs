use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;

use super::ExecutorClock;
use crate::model::Checkpoint;
use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::StepSpec;

/// How far a run on an executor is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Chosen; its record is not stored yet.
    Proposed,
    /// Given up before its record was stored; taken back when it is.
    Withdrawn,
    /// Known from the store only, after a takeover.
    Restored,
    /// The start was handed over; no answer yet.
    Ordered,
    /// The executor took it, or lists it.
    Running {
        /// When that was learned.
        since: Instant,
    },
    /// It is to stop; the stop may be on its way.
    Stopping {
        /// When the stop was last handed over.
        sent_at: Instant,
        /// When the executor answered the stop.
        answered_at: Option<Instant>,
    },
}

/// One run as it counts on its executor.
#[derive(Clone, Debug)]
pub struct RunView {
    /// The run.
    pub run: RunNumber,
    /// What it takes from the executor's account.
    pub reserved: Resources,
    /// What it would use of the processor beyond the account, in thousandths of a core.
    pub filler_cpu_milli: u64,
    /// The tail that it must keep if it serves, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// What it runs.
    pub image: Option<ImageName>,
    /// How far it is.
    pub phase: RunPhase,
    /// The newest saved state that the executor listed.
    pub checkpoint: Option<Checkpoint>,
    /// How much of its work is done, 0 to 100.
    pub progress_percent: f64,
    /// When it was last seen to make progress.
    pub progressed_at: Instant,
    /// The executor's last figure: tail in milliseconds if it serves, else thousandths of a core.
    pub recent_figure: Option<f64>,
    /// The share at which it may work.
    pub pace_percent: u32,
    /// Reports in a row that did not list it though it should run.
    pub missed_reports: u32,
}

impl RunView {
    /// Creates the view of a run of a step's task.
    pub fn new(run: RunNumber, step: &StepSpec, phase: RunPhase, now: Instant) -> Self {
        Self {
            run,
            reserved: step.reserved(),
            filler_cpu_milli: match step.is_filler {
                true => step.need.cpu_milli.0,
                false => 0,
            },
            tail_target_ms: step.tail_target_ms,
            image: step.image.clone(),
            phase,
            checkpoint: None,
            progress_percent: 0.0,
            progressed_at: now,
            recent_figure: None,
            pace_percent: 100,
            missed_reports: 0,
        }
    }

    /// Returns whether the executor has answered after the given time.
    pub fn is_executor_heard_after(&self, time: Instant, clock: Option<ExecutorClock>) -> bool {
        clock.is_some_and(|clock| clock.seen_at() > time)
    }

    /// Returns the pace at which a filler seems to work, from the processor time that it uses.
    pub fn observed_pace_percent(&self) -> u32 {
        let used_milli = self.recent_figure.unwrap_or(0.0);
        let share = used_milli / self.filler_cpu_milli.max(1) as f64;
        (share * 100.0).clamp(0.0, 100.0) as u32
    }

    /// Returns whether the run serves users of its own.
    pub fn is_serving(&self) -> bool {
        self.tail_target_ms.is_some()
    }

    /// Returns whether it uses what others leave.
    pub fn is_filler(&self) -> bool {
        self.filler_cpu_milli > 0
    }
}
