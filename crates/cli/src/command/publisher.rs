use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::PublicationOutcome;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::plan::Plan;
use super::read_config::Progress;
use super::read_config::read_page;
use crate::cli::Failure;

/// The pause before the log is read again at its end or after a failed read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Appends a plan once, then reads the log until the outcome of each record is known.
pub(super) struct Publisher<'a> {
    log: &'a dyn Log,
    state: ConfigState,
    writer: Box<str>,
    deadline: Instant,
    outcomes: BTreeMap<Sequence, Arc<PublicationOutcome>>,
}

impl<'a> Publisher<'a> {
    /// Creates a publisher with a random writer id. `state` is the configuration that the plan was
    /// made on; reading continues from its end.
    pub(super) fn new(log: &'a dyn Log, state: ConfigState, deadline: Instant) -> Self {
        Self {
            log,
            state,
            writer: format!("cli-{:016x}", rand::random::<u64>()).into(),
            deadline,
            outcomes: BTreeMap::new(),
        }
    }

    /// Publishes a plan and returns the offset after its last record.
    ///
    /// The plan is never appended twice: if the answer of the append is lost, the outcomes are read
    /// from the log instead.
    ///
    /// # Errors
    /// The log refused the append, the outcomes could not be read before the deadline, or a change
    /// was refused. The verdict of a failed call says whether the change may still take effect.
    pub(super) async fn publish(mut self, plan: &Plan) -> Result<Offset, Failure> {
        let payloads = plan.payloads(&self.writer);
        let append = self.log.append(CONFIG_STREAM, &payloads);
        let appended = timeout_at(self.deadline, append).await;
        if let Ok(Err(error)) = appended
            && error.verdict == Verdict::NotRun
        {
            return Err(error.into());
        }
        while self.outcomes.len() < plan.len() {
            if timeout_at(self.deadline, self.poll_log()).await.is_err() {
                let cause = "the outcome of the change could not be read in time; \
                             it may still take effect, see history";
                return Err(CallError::may_have_run(cause).into());
            }
        }
        self.print_outcomes()
    }

    async fn poll_log(&mut self) {
        let progress = read_page(self.log, &mut self.state).await;
        self.record_outcomes();
        if progress != Ok(Progress::More) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the first outcome of each record of this writer.
    fn record_outcomes(&mut self) {
        for outcome in self.state.outcomes() {
            if let Some((writer, sequence)) = &outcome.writer
                && *writer == self.writer
            {
                let entry = self.outcomes.entry(*sequence);
                entry.or_insert_with(|| Arc::clone(outcome));
            }
        }
    }

    fn print_outcomes(self) -> Result<Offset, Failure> {
        let mut refused = Vec::new();
        for outcome in self.outcomes.values() {
            match (&outcome.path, &outcome.refusal) {
                (Some(path), None) => println!("accepted {path} as version {}", outcome.offset),
                _ => refused.push(describe_refusal(outcome)),
            }
        }
        if !refused.is_empty() {
            return Err(Failure::Refused(format!("refused: {}", refused.join("; "))));
        }
        let last = self.outcomes.values().map(|outcome| outcome.offset).max();
        Ok(last.map(Offset::next).unwrap_or_default())
    }
}

/// Formats path, field, value and rule of a refused publication.
pub(super) fn describe_refusal(outcome: &PublicationOutcome) -> String {
    let path = outcome.path.as_ref().map_or("-", |path| path.as_str());
    let Some(refusal) = &outcome.refusal else {
        return path.to_owned();
    };
    let mut text = path.to_owned();
    if !refusal.field().is_empty() {
        text.push_str(&format!(": field {}", refusal.field()));
    }
    if !outcome.value.is_empty() {
        text.push_str(&format!(": value {}", outcome.value));
    }
    text.push_str(&format!(": {}", refusal.rule()));
    text
}
