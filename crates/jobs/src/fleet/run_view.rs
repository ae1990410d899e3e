use std::time::Duration;

use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;

use super::ExecutorClock;
use crate::model::Checkpoint;
use crate::model::ImageName;
use crate::model::RunNumber;
use crate::model::StepSpec;

/// The progress from which a run shows that its executor works, in percent.
const PROBE_PROGRESS_PERCENT: f64 = 1.0;

/// The smallest progress that tells the speed of a run, in percent. Reports may be late by some 10 ms.
const MEASURED_PROGRESS_PERCENT: f64 = 5.0;

/// The phase of a run on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Placed; the record of the placement is not stored yet.
    Proposed,
    /// Cancelled before its record was stored; undone once the record is stored.
    Withdrawn,
    /// Restored from the store after a takeover; the executor has not confirmed the run yet.
    Restored,
    /// The start was handed to the executor's session, without an answer so far.
    Ordered,
    /// The executor accepted the start, or lists the run.
    Running {
        /// When this owner learned that the run is running.
        since: Instant,
    },
    /// The run must stop; the stop may still be in flight.
    Stopping {
        /// When the stop was last handed to the session.
        sent_at: Instant,
        /// When the executor answered the stop, if an answer has arrived.
        answered_at: Option<Instant>,
    },
}

/// One run as the owner of the cell tracks it on an executor.
#[derive(Clone, Debug)]
pub struct RunView {
    /// The number of the run among the runs of its task.
    pub run: RunNumber,
    /// The resources reserved on the executor; a filler's processor time is not reserved.
    pub reserved: Resources,
    /// The unreserved processor time that a filler uses at full pace, in thousandths of a core; 0
    /// for other tasks.
    pub filler_cpu_milli: u64,
    /// The tail latency target of a serving task, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// The image that the task runs, if the client named one.
    pub image: Option<ImageName>,
    /// The phase of the run.
    pub phase: RunPhase,
    /// When this owner placed the run or learned of it.
    pub known_since: Instant,
    /// When this owner placed the run; unknown for a run of a former owner.
    pub placed_at: Option<Instant>,
    /// The newest checkpoint that the executor reported.
    pub checkpoint: Option<Checkpoint>,
    /// The share of the work that is done, 0 to 100.
    pub progress_percent: f64,
    /// The first share of the work that the executor reported, and when the report arrived.
    pub first_progress: Option<(f64, Instant)>,
    /// Whether a former owner started the run, so the time of its start is not known.
    pub is_inherited: bool,
    /// When progress was last observed.
    pub progressed_at: Instant,
    /// The last reported measurement: the tail latency in milliseconds of a serving task, or the
    /// processor time used in thousandths of a core of any other task.
    pub recent_measurement: Option<f64>,
    /// The share of its full speed at which the run may work, 0 to 100.
    pub pace_percent: u32,
    /// Since when the run has been paused by its pace.
    pub paused_since: Option<Instant>,
    /// Since when the run has worked at full pace, if this owner saw its start and the pace was never
    /// lowered.
    pub full_pace_since: Option<Instant>,
    /// Whether the run is kept apart from new runs of other jobs, because executors were lost under its
    /// task.
    pub is_isolated: bool,
    /// The number of consecutive reports that did not list the run although it should be running.
    pub missed_reports: u32,
}

impl RunView {
    /// Creates the view of a run of one of the step's tasks, at full pace and without progress.
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
            known_since: now,
            placed_at: Some(now),
            checkpoint: None,
            progress_percent: 0.0,
            first_progress: None,
            is_inherited: phase == RunPhase::Restored,
            progressed_at: now,
            recent_measurement: None,
            pace_percent: 100,
            paused_since: None,
            full_pace_since: None,
            is_isolated: false,
            missed_reports: 0,
        }
    }

    /// Returns whether the newest answer of the executor arrived after the given time.
    pub fn has_executor_answered_after(&self, time: Instant, clock: Option<ExecutorClock>) -> bool {
        clock.is_some_and(|clock| clock.seen_at() > time)
    }

    /// Returns the speed of the run in percent per millisecond, once its progress is large enough to
    /// measure.
    ///
    /// Measures from the start if this owner saw it and the run began without a checkpoint, and from
    /// the first report otherwise.
    pub fn speed_percent_per_ms(&self, has_checkpoint: bool) -> Option<f64> {
        let (first_percent, first_at) = match self.phase {
            RunPhase::Running { since } if !self.is_inherited && !has_checkpoint => (0.0, since),
            _ => self.first_progress?,
        };
        let gained_percent = self.progress_percent - first_percent;
        let took = self.progressed_at.checked_duration_since(first_at)?;
        let is_measured = gained_percent >= MEASURED_PROGRESS_PERCENT && !took.is_zero();
        is_measured.then(|| gained_percent / (took.as_secs_f64() * 1_000.0))
    }

    /// Estimates the pace of a filler from the processor time that it uses, in percent.
    pub fn observed_pace_percent(&self) -> u32 {
        let used_milli = self.recent_measurement.unwrap_or(0.0);
        let share = used_milli / self.filler_cpu_milli.max(1) as f64;
        (share * 100.0).clamp(0.0, 100.0) as u32
    }

    /// Returns whether the run had worked for at least the given time when its executor was last heard.
    /// One whose start has no answer may begin at any time.
    pub fn had_settled(&self, settle_time: Duration, heard_at: Instant) -> bool {
        match self.phase {
            RunPhase::Running { since } => since + settle_time <= heard_at,
            _ => false,
        }
    }

    /// Returns whether the run is known to have begun, and is not being stopped.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. })
    }

    /// Sets the share of its full speed at which the run may work, from now on.
    pub fn set_pace(&mut self, percent: u32, now: Instant) {
        self.paused_since = match percent {
            0 => self.paused_since.or(Some(now)),
            _ => None,
        };
        self.pace_percent = percent;
        self.full_pace_since = None;
        self.progressed_at = now;
    }

    /// Returns for how long the run has been paused by its pace.
    pub fn paused_for(&self, now: Instant) -> Duration {
        let since = self.paused_since;
        since.map_or(Duration::ZERO, |since| now.duration_since(since))
    }

    /// Returns the time since the run started, or since this owner first knew of it.
    pub fn age(&self, now: Instant) -> Duration {
        match self.phase {
            RunPhase::Running { since } => now.duration_since(since),
            _ => now.duration_since(self.known_since),
        }
    }

    /// Returns whether the run serves users, under a tail latency target.
    pub fn is_serving(&self) -> bool {
        self.tail_target_ms.is_some()
    }

    /// Returns whether the run is still to show that its executor works: it is about to start, or has
    /// made no progress although it may.
    pub fn is_probe(&self) -> bool {
        // Without a number, it only holds the room of a gang's member while the others are searched.
        let is_held_room = self.run == RunNumber::default();
        let is_starting = matches!(self.phase, RunPhase::Proposed | RunPhase::Ordered);
        let has_shown_nothing =
            self.pace_percent > 0 && self.progress_percent < PROBE_PROGRESS_PERCENT;
        !is_held_room && (is_starting || has_shown_nothing)
    }

    /// Returns whether the run is a filler, which uses processor time that others leave idle.
    pub fn is_filler(&self) -> bool {
        self.filler_cpu_milli > 0
    }
}
