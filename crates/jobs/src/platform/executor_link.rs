use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;

use crate::model::Checkpoint;
use crate::model::RunNumber;
use crate::model::TaskId;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the executor's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that an executor lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The newest saved state.
    pub checkpoint: Option<Checkpoint>,
    /// How much of the work is done, 0 to 100; for a long-running task, whether it serves.
    pub progress_percent: f64,
    /// The tail of response times in milliseconds for a serving task, the processor time in use
    /// in thousandths of a core for any other; over the last half second.
    pub recent_measurement: Option<f64>,
}

/// A run that an executor lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// The end's number in this life of the executor, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// The newest saved state.
    pub checkpoint: Option<Checkpoint>,
}

/// What an executor answers to a renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// The executor's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Tells this life from earlier ones under the same id.
    pub incarnation: Incarnation,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// The ends that have not been acknowledged, in order.
    pub ended: Vec<EndedRun>,
}

impl ExecutorReport {
    /// Returns whether a run is listed, as running or as ended.
    pub fn lists(&self, task: TaskId, run: RunNumber) -> bool {
        self.is_running(task, run)
            || self
                .ended
                .iter()
                .any(|ended| ended.task == task && ended.run == run)
    }

    /// Returns whether a run is listed as running.
    pub fn is_running(&self, task: TaskId, run: RunNumber) -> bool {
        self.running
            .iter()
            .any(|running| running.task == task && running.run == run)
    }
}

/// Keeps what runs on an executor alive, and asks what it does.
#[derive(Clone, Debug)]
pub struct Renewal {
    /// The sender's generation.
    pub token: Epoch,
    /// The ends up to this number may be forgotten.
    pub acked_end: u64,
    /// When the leases end, on the executor's clock, in milliseconds.
    pub lease_end_ms: Option<u64>,
    /// How long the executor may wait for an end before it answers.
    pub hold: Duration,
}

/// Tells an executor to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The life of the executor that the run is meant for; any other one must not get the order.
    pub incarnation: Incarnation,
    /// The sender's generation.
    pub token: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The text that is handed to the task.
    pub payload: Arc<str>,
    /// When the lease ends, on the executor's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// The state to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// The approval service's ticket.
    pub ticket: Option<Box<str>>,
}

/// Tells an executor to stop a run, or to refuse it if it comes later.
#[derive(Clone, Copy, Debug)]
pub struct StopOrder {
    /// The sender's generation.
    pub token: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
}

/// Tells an executor to slow a run down or to let it go on.
#[derive(Clone, Copy, Debug)]
pub struct PaceOrder {
    /// The sender's generation.
    pub token: Epoch,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The share at which it may work, 0 to 100.
    pub percent: u32,
}

/// Why an executor refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartRefusal {
    /// The run, or a later one, has been there before.
    Old,
    /// The lease in the order is over.
    Late,
    /// There is no room.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The executor is unhealthy; it did nothing.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// Why an order did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The executor refused it.
    Refused(StartRefusal),
    /// The executor has seen a later generation.
    Fenced,
    /// Another executor answers at the address.
    OtherExecutor,
    /// Not delivered.
    NotSent(Box<str>),
    /// No answer; the order may be carried out, also later.
    Unknown(Box<str>),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Fenced => f.write_str("the executor obeys a later owner"),
            Self::OtherExecutor => f.write_str("another executor answers at the address"),
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
        }
    }
}

impl Error for OrderError {}

/// Carries orders to one executor.
#[async_trait]
pub trait ExecutorLink: Send + Sync {
    /// Renews the leases and returns what runs and what ended.
    ///
    /// Ends are acknowledged only to the life of the executor that gave the last report; any
    /// other one is told of none.
    ///
    /// # Errors
    /// Says whether the renewal may have been carried out.
    async fn renew(&self, renewal: &Renewal) -> Result<ExecutorReport, OrderError>;

    /// Starts a run; a repeat of a start that succeeded succeeds as well.
    ///
    /// # Errors
    /// Says whether the run may start all the same.
    async fn start(&self, order: &StartOrder) -> Result<(), OrderError>;

    /// Stops a run.
    ///
    /// # Errors
    /// Says whether the stop may have been carried out.
    async fn stop(&self, order: &StopOrder) -> Result<(), OrderError>;

    /// Sets the pace of a run.
    ///
    /// # Errors
    /// Says whether the order may have been carried out.
    async fn pace(&self, order: &PaceOrder) -> Result<(), OrderError>;
}
