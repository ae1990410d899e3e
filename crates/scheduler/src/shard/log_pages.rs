use std::time::Duration;

use dotterelhook_borders::log::LogPage;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;
use spdlog::warn;

use super::pending_replies::RequestKind;
use super::shard_task::ShardTask;
use crate::run_commands::RunCommandError;
use crate::worker::WorkerCommand;

const FAILURE_COOL_OFF: Duration = Duration::from_millis(500);
const QUARANTINE_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// An attempt that is ended by a record.
pub(super) struct AttemptEnding {
    pub(super) attempt: AttemptId,
    pub(super) end: AttemptEnd,
    pub(super) worker: WorkerId,
}

impl ShardTask {
    /// Applies a page of records, and handles those that this process wrote.
    pub(super) fn apply_page(&mut self, requested_at_ms: u64, page: &LogPage) {
        for record in &page.records {
            if record.offset < self.state.next_offset() {
                continue;
            }
            let Ok(parsed) = serde_json::from_str::<ShardRecord>(&record.payload) else {
                warn!(
                    "shard: skipped malformed record at offset {}",
                    record.offset
                );
                self.state.skip(record.offset);
                continue;
            };
            let own = self.is_own(&parsed).then(|| parsed.clone());
            let endings = own.as_ref().map(|own| self.endings(own));
            let result = self.state.apply_record(record.offset, parsed);
            self.update_ownership();
            if let Some(own) = own {
                self.handle_own_record(&own, result, endings.unwrap_or_default());
            }
        }
        self.last_log_contact_ms = self.last_log_contact_ms.max(requested_at_ms);
        self.has_caught_up = self.state.next_offset() >= page.end_offset;
        self.update_ownership();
        // A page that ends before the end of the log, or a log that ends before the records applied so
        // far, does not show that no other process has claimed the shard.
        if self.state.next_offset() == page.end_offset {
            self.extend_renewal_right(requested_at_ms);
        }
    }

    fn is_own(&self, record: &ShardRecord) -> bool {
        record.host == self.context.host && record.incarnation == self.context.incarnation
    }

    /// Returns the attempts that a record will end; call before the record is applied.
    fn endings(&self, record: &ShardRecord) -> Vec<AttemptEnding> {
        match &record.event {
            ShardEvent::End { attempt, end } => {
                let open = self.state.open_attempts().get(attempt);
                let ending = open.map(|open| AttemptEnding {
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
            } => self.endings_by_worker_restart(worker, *incarnation),
            _ => Vec::new(),
        }
    }

    /// Returns the open attempts that end as lost because their worker has restarted.
    fn endings_by_worker_restart(
        &self,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) -> Vec<AttemptEnding> {
        let worker_state = self.state.workers().get(worker);
        let restarted = worker_state.filter(|worker_state| worker_state.incarnation < incarnation);
        let open = restarted
            .into_iter()
            .flat_map(|worker_state| &worker_state.open);
        open.map(|attempt| AttemptEnding {
            attempt: attempt.clone(),
            end: AttemptEnd::Lost,
            worker: worker.clone(),
        })
        .collect()
    }

    fn handle_own_record(
        &mut self,
        record: &ShardRecord,
        result: Result<(), ShardRefusal>,
        endings: Vec<AttemptEnding>,
    ) {
        self.appender.confirm_read_back(record.sequence);
        if let Err(refusal) = result {
            self.handle_refusal(record, refusal);
            return;
        }
        // Only records of the owner are accepted, so an owner misses none by handling just its own.
        let now_unix_ms = self.context.clock.unix_ms();
        self.placer.observe(&self.state, &record.event, now_unix_ms);
        self.notify_controller(&record.event, &endings);
        if let ShardEvent::End { attempt, end } = &record.event
            && endings.is_empty()
        {
            self.handle_late_end(attempt, end);
        }
        for ending in endings {
            self.handle_ending(&ending);
        }
        match &record.event {
            ShardEvent::Start {
                attempt, worker, ..
            } => self.send_start(attempt, worker),
            ShardEvent::Worker { .. } => self.workers_changed = true,
            ShardEvent::Overdue { run } => self.handle_overdue_run(run),
            ShardEvent::Move { run, .. } => {
                self.context.metrics.moved_runs.inc();
                self.finish_departure(run);
            }
            event => self.answer_requesters(event, &Ok(())),
        }
    }

    fn handle_refusal(&mut self, record: &ShardRecord, refusal: ShardRefusal) {
        if refusal == ShardRefusal::Repeated {
            return;
        }
        let kind: &'static str = (&record.event).into();
        warn!("shard: own {kind} record was refused: {refusal}");
        self.context.metrics.refused_records.inc();
        if let ShardEvent::End { attempt, .. } = &record.event {
            self.attempts_with_queued_end.remove(attempt);
        }
        if let ShardEvent::Move { run, .. } = &record.event {
            self.finish_departure(run);
        }
        let error = match refusal {
            ShardRefusal::StaleEpoch | ShardRefusal::NotOwner => RunCommandError::NotOwner,
            _ => RunCommandError::Refused(refusal),
        };
        self.answer_requesters(&record.event, &Err(error));
    }

    /// Answers the requesters whose submission or cancellation the event records.
    pub(super) fn answer_requesters(
        &mut self,
        event: &ShardEvent,
        result: &Result<(), RunCommandError>,
    ) {
        match event {
            ShardEvent::Submit { run, .. } => self.replies.answer(run, RequestKind::Submit, result),
            ShardEvent::Cancel { run } => self.replies.answer(run, RequestKind::Cancel, result),
            ShardEvent::Adopt { moved } => {
                self.replies.answer(&moved.run, RequestKind::Adopt, result);
            }
            _ => {}
        }
    }

    /// Handles the end of an attempt that had been declared lost. The worker forgets the attempt
    /// after its next inventory, and a newer attempt that is no longer needed is stopped then.
    fn handle_late_end(&mut self, attempt: &AttemptId, end: &AttemptEnd) {
        self.attempts_with_queued_end.remove(attempt);
        self.context.metrics.late_ends.inc();
        let kind: &'static str = end.into();
        info!("shard: late end of attempt {attempt}, which was declared lost: {kind}");
    }

    /// Lets the worker forget an attempt whose end is recorded in the log.
    fn handle_ending(&mut self, ending: &AttemptEnding) {
        let AttemptEnding {
            attempt,
            end,
            worker,
        } = ending;
        self.attempts_with_queued_end.remove(attempt);
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
                self.start_cool_off(worker);
            }
            _ => {}
        }
    }

    /// Places no new attempts on a worker for a while after an attempt failed there.
    fn start_cool_off(&mut self, worker: &WorkerId) {
        let worker_state = self.state.workers().get(worker);
        let is_quarantined = worker_state.is_some_and(|worker_state| worker_state.is_quarantined());
        let pause = if is_quarantined {
            QUARANTINE_PROBE_INTERVAL
        } else {
            FAILURE_COOL_OFF
        };
        if is_quarantined {
            warn!("shard: worker {worker} is quarantined after failures of several jobs");
        }
        let until_ms = self.now_ms() + pause.as_millis() as u64;
        self.cool_off_until_ms.insert(worker.clone(), until_ms);
    }
}
