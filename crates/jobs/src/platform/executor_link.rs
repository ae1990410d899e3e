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
    /// The work is complete.
    Done,
    /// The run failed, through its own fault or the executor's.
    Failed,
    /// The run ended on a stop order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A running run in an executor's report.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRun {
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run within its task.
    pub run: RunNumber,
    /// The latest saved checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// The completed share of the work, 0 to 100. For a long-running task: whether it serves.
    pub progress_percent: f64,
    /// A measurement over the last half second. For a serving task: its tail response time in
    /// milliseconds. For any other task: its CPU usage in thousandths of a core.
    pub recent_measurement: Option<f64>,
}

/// An ended run in an executor's report.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// The sequence number of the run end within the executor's incarnation, from 1.
    pub number: u64,
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run within its task.
    pub run: RunNumber,
    /// How the run ended.
    pub end: RunEnd,
    /// The latest saved checkpoint.
    pub checkpoint: Option<Checkpoint>,
}

/// An executor's answer to a [`Renewal`]: all of its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// The executor's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Distinguishes the executor from earlier ones under the same id.
    pub incarnation: Incarnation,
    /// The runs in progress.
    pub running: Vec<RunningRun>,
    /// The unacknowledged run ends, in order of their numbers.
    pub ended: Vec<EndedRun>,
    /// Whether further run ends may follow once these are acknowledged. A run that is not listed may
    /// have ended then.
    pub may_have_more_ends: bool,
}

impl ExecutorReport {
    /// Returns whether the executor may have accepted a run: the report contains the run, as running
    /// or as ended, or does not contain all ends.
    pub fn may_have_accepted(&self, task: TaskId, run: RunNumber) -> bool {
        self.may_have_more_ends
            || self.is_running(task, run)
            || self
                .ended
                .iter()
                .any(|ended| ended.task == task && ended.run == run)
    }

    /// Returns whether the report contains a run as running.
    pub fn is_running(&self, task: TaskId, run: RunNumber) -> bool {
        self.running
            .iter()
            .any(|running| running.task == task && running.run == run)
    }
}

/// A request to renew the leases of all runs on an executor and to report their state.
#[derive(Clone, Debug)]
pub struct Renewal {
    /// The fencing token: the epoch of the sender.
    pub token: Epoch,
    /// The executor may discard the run ends up to and including this number.
    pub acked_end: u64,
    /// The new end of the leases on the executor's clock, in milliseconds. `None` requests a
    /// report without a renewal.
    pub lease_end_ms: Option<u64>,
    /// The long-poll time: how long the executor may wait for a run end before it answers.
    pub hold: Duration,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The executor's incarnation that the run is placed on. No other incarnation may receive the
    /// order.
    pub incarnation: Incarnation,
    /// The fencing token: the epoch of the sender.
    pub token: Epoch,
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run within its task.
    pub run: RunNumber,
    /// The opaque text that is passed to the task.
    pub payload: Arc<str>,
    /// The end of the lease on the executor's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// The ticket of the approval service, if the queue requires one.
    pub ticket: Option<Box<str>>,
}

/// An order to stop a run, or to refuse its start if the start order arrives later.
#[derive(Clone, Copy, Debug)]
pub struct StopOrder {
    /// The fencing token: the epoch of the sender.
    pub token: Epoch,
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run within its task.
    pub run: RunNumber,
}

/// An order to throttle or resume a run.
#[derive(Clone, Copy, Debug)]
pub struct PaceOrder {
    /// The fencing token: the epoch of the sender.
    pub token: Epoch,
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run within its task.
    pub run: RunNumber,
    /// The permitted share of full speed, 0 (paused) to 100.
    pub percent: u32,
}

/// Why an executor refused a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartRefusal {
    /// The executor has already received this run or a later one of the task.
    Old,
    /// The lease in the order has expired.
    Late,
    /// The free capacity is too small.
    Room,
    /// The ticket is missing or has expired.
    Ticket,
    /// The executor is unhealthy; the order had no effect.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// Why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The executor refused the start.
    Refused(StartRefusal),
    /// The executor has accepted a later fencing token.
    Fenced,
    /// A different executor answered at the address.
    OtherExecutor,
    /// The order was not delivered.
    NotSent(Box<str>),
    /// The order was not delivered, because no process listens at the executor's address.
    NoListener(Box<str>),
    /// No answer arrived. The order may have taken effect or may still do so.
    Unknown(Box<str>),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Fenced => f.write_str("the executor has accepted a later fencing token"),
            Self::OtherExecutor => f.write_str("a different executor answered at the address"),
            Self::NotSent(cause) | Self::NoListener(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
        }
    }
}

impl Error for OrderError {}

/// A client of one executor.
///
/// Each call waits for its answer for at most `timeout`.
#[async_trait]
pub trait ExecutorLink: Send + Sync {
    /// Renews the leases and returns the running and the ended runs. The long-poll time of the renewal
    /// is added to `timeout`.
    ///
    /// Run ends are numbered and clocks are started per incarnation. An implementation acknowledges run
    /// ends and extends leases only at the incarnation that sent the last report. It requests just a
    /// report from any other one.
    ///
    /// # Errors
    /// [`OrderError::Unknown`] if the renewal may have taken effect.
    async fn renew(
        &self,
        renewal: &Renewal,
        timeout: Duration,
    ) -> Result<ExecutorReport, OrderError>;

    /// Starts a run. The call is idempotent: repeating a successful start succeeds as well.
    ///
    /// # Errors
    /// [`OrderError::Unknown`] if the run may have started or may still start.
    async fn start(&self, order: &StartOrder, timeout: Duration) -> Result<(), OrderError>;

    /// Stops a run.
    ///
    /// # Errors
    /// [`OrderError::Unknown`] if the stop may have taken effect.
    async fn stop(&self, order: &StopOrder, timeout: Duration) -> Result<(), OrderError>;

    /// Sets the permitted speed of a run.
    ///
    /// # Errors
    /// [`OrderError::Unknown`] if the order may have taken effect.
    async fn pace(&self, order: &PaceOrder, timeout: Duration) -> Result<(), OrderError>;
}
