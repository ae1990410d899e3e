use std::time::Duration;

use dotterelhook_borders::log::LogPage;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::WorkerId;
use spdlog::warn;

use super::shard_task::ShardTask;
use super::waiters::Asked;
use crate::run_ledger::SubmitError;
use crate::worker::WorkerCommand;

const COOL_OFF: Duration = Duration::from_millis(500);
const PROBE_PAUSE: Duration = Duration::from_secs(30);

/// An attempt that one record ends.
pub(super) struct Ending {
    pub(super) attempt: AttemptId,
    pub(super) end: AttemptEnd,
    pub(super) worker: WorkerId,
}

impl ShardTask {
    /// Applies a page of records and reacts to those of this process.
    pub(super) fn apply_page(&mut self, asked_at_ms: u64, page: &LogPage) {
        for record in &page.records {
            if record.offset < self.state.next_offset() {
                continue;
            }
            let Ok(read) = serde_json::from_str::<ShardRecord>(&record.payload) else {
                warn!("shard: record {} is malformed", record.offset);
                self.state.skip(record.offset);
                continue;
            };
            let own = self.is_own(&read).then(|| read.clone());
            let endings = own.as_ref().map(|own| self.endings(own));
            let result = self.state.apply_record(record.offset, read);
            self.follow_ownership(asked_at_ms);
            if let Some(own) = own {
                self.observe(&own, result, endings.unwrap_or_default());
            }
        }
        self.log_contact_ms = self.log_contact_ms.max(asked_at_ms);
        self.has_caught_up = self.state.next_offset() >= page.end_offset;
        self.follow_ownership(asked_at_ms);
    }

    fn is_own(&self, record: &ShardRecord) -> bool {
        record.host == self.context.host && record.incarnation == self.context.incarnation
    }

    /// Returns the attempts that a record is about to end.
    fn endings(&self, record: &ShardRecord) -> Vec<Ending> {
        match &record.event {
            ShardEvent::End { attempt, end } => {
                let open = self.state.open_attempts().get(attempt);
                let ending = open.map(|open| Ending {
                    attempt: attempt.clone(),
                    end: end.clone(),
                    worker: open.worker.clone(),
                });
                ending.into_iter().collect()
            }
            ShardEvent::Worker {
                worker,
                incarnation,
                ..
            } => self.endings_by_restart(worker, *incarnation),
            _ => Vec::new(),
        }
    }

    /// Returns what a worker's later incarnation ends.
    fn endings_by_restart(&self, worker: &WorkerId, incarnation: Incarnation) -> Vec<Ending> {
        let account = self.state.workers().get(worker);
        let restarted = account.filter(|account| account.incarnation < incarnation);
        let open = restarted.into_iter().flat_map(|account| &account.open);
        open.map(|attempt| Ending {
            attempt: attempt.clone(),
            end: AttemptEnd::Lost,
            worker: worker.clone(),
        })
        .collect()
    }

    fn observe(
        &mut self,
        record: &ShardRecord,
        result: Result<(), ShardRefusal>,
        endings: Vec<Ending>,
    ) {
        self.appender.confirm(record.sequence);
        if let Err(refusal) = result {
            self.note_refusal(record, refusal);
            return;
        }
        // While a process owns the shard, every accepted record is its own.
        let now_unix_ms = self.context.clock.unix_ms();
        self.placer.observe(&self.state, &record.event, now_unix_ms);
        self.watch(&record.event, &endings);
        for ending in endings {
            self.note_end(&ending);
        }
        match &record.event {
            ShardEvent::Start {
                attempt, worker, ..
            } => self.start(attempt, worker),
            ShardEvent::Worker { .. } => self.workers_changed = true,
            ShardEvent::Overdue { run } => self.note_overdue(run),
            event => self.answer_event(event, &Ok(())),
        }
    }

    fn note_refusal(&mut self, record: &ShardRecord, refusal: ShardRefusal) {
        if refusal == ShardRefusal::Repeated {
            return;
        }
        let kind: &'static str = (&record.event).into();
        warn!("shard: own {kind} record was refused: {refusal}");
        self.context.metrics.refused_records.inc();
        if let ShardEvent::End { attempt, .. } = &record.event {
            self.proposed_ends.remove(attempt);
        }
        let error = match refusal {
            ShardRefusal::StaleEpoch | ShardRefusal::NotOwner => SubmitError::NotOwner,
            _ => SubmitError::Refused(refusal),
        };
        self.answer_event(&record.event, &Err(error));
    }

    /// Answers those who asked for an event.
    pub(super) fn answer_event(&mut self, event: &ShardEvent, result: &Result<(), SubmitError>) {
        match event {
            ShardEvent::Submit { run, .. } => self.waiters.answer(run, Asked::Submit, result),
            ShardEvent::Cancel { run } => self.waiters.answer(run, Asked::Cancel, result),
            _ => {}
        }
    }

    /// Lets the worker forget an attempt whose end stands in the log.
    fn note_end(&mut self, ending: &Ending) {
        let Ending {
            attempt,
            end,
            worker,
        } = ending;
        self.proposed_ends.remove(attempt);
        self.evicting.remove(attempt);
        if let Some(handle) = self.workers.get(worker) {
            handle.send(WorkerCommand::Forget(attempt.clone()));
        }
        match end {
            AttemptEnd::Lost => {
                self.context.metrics.lost_attempts.inc();
            }
            AttemptEnd::Failed { cause } => {
                warn!("shard: attempt {attempt} failed on {worker}: {cause}");
                self.cool_off(worker);
            }
            _ => {}
        }
    }

    /// Keeps new work off a worker for a while after a failure there.
    fn cool_off(&mut self, worker: &WorkerId) {
        let account = self.state.workers().get(worker);
        let is_quarantined = account.is_some_and(|account| account.is_quarantined());
        let pause = if is_quarantined {
            PROBE_PAUSE
        } else {
            COOL_OFF
        };
        if is_quarantined {
            warn!("shard: worker {worker} is quarantined after failures of several jobs");
        }
        let until_ms = self.now_ms() + pause.as_millis() as u64;
        self.cool_off_until_ms.insert(worker.clone(), until_ms);
    }
}
