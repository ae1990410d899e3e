use std::sync::Arc;
use std::time::Duration;

use dotterelhook_state::config::Evacuation;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_state::shard::Run;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RunId;
use spdlog::info;
use spdlog::warn;

use super::shard_task::ShardTask;
use crate::evacuation::StartHold;
use crate::relocation::OtherDomains;
use crate::relocation::RoomRequest;

/// Limits the size of the record that adopts a run.
const MOVED_TASKS_MAX: u32 = 1_000;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const DELIVERY_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// A run whose attempts have not ended by then stays: a worker does not answer.
const LEAVING_MAX: Duration = Duration::from_secs(60);

/// The run that is leaving an evacuated shard; one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// The other failure domains are asked for room.
    Probing { run: RunId },
    /// The run's attempts write checkpoints and stop.
    Stopping {
        run: RunId,
        to: FailureDomain,
        until_ms: u64,
    },
    /// The record of the move is being appended.
    Recording { run: RunId },
}

/// The result of a call to another failure domain.
#[derive(Debug)]
pub(super) enum RelocationResult {
    /// The failure domain with room for as many tasks of the run, if any.
    Room {
        run: RunId,
        found: Option<(FailureDomain, u64)>,
    },
    /// The run was adopted.
    Delivered { run: RunId },
}

impl ShardTask {
    /// Lets runs leave an evacuated shard one after another, and hands over those that have left.
    pub(super) fn advance_departures(&mut self) {
        self.deliver_moved_runs();
        if !matches!(self.start_gate.hold(), Some(StartHold::Evacuated { .. })) {
            // A move whose record is under way goes on; nothing else has happened for good.
            if !matches!(self.departure, Some(Departure::Recording { .. })) {
                self.departure = None;
            }
            return;
        }
        match self.departure.clone() {
            None => self.probe_next_run(),
            Some(Departure::Stopping { run, to, until_ms }) => {
                self.advance_stopping(run, to, until_ms);
            }
            Some(Departure::Probing { .. } | Departure::Recording { .. }) => {}
        }
    }

    fn probe_next_run(&mut self) {
        let now_ms = self.now_ms();
        // A run that is still on its way may need the room that a further run would be offered.
        if now_ms < self.next_probe_ms || !self.state.undelivered_runs().is_empty() {
            return;
        }
        self.next_probe_ms = now_ms + PROBE_INTERVAL.as_millis() as u64;
        let active = self.state.active_runs();
        let may_leave = |id: &&RunId| self.needed_room(id).is_some();
        let after = self.last_probed.as_ref();
        let after = active.iter().filter(|id| Some(*id) > after);
        let Some(run) = after.chain(active).find(may_leave).cloned() else {
            return;
        };
        self.last_probed = Some(run.clone());
        let (Some(needed), Some(found)) = (self.needed_room(&run), self.state.runs().get(&run))
        else {
            return;
        };
        let domains = self.context.other_domains.failure_domains();
        let config = self.context.config.current();
        let is_open = |domain: &FailureDomain| {
            let path = Evacuation::path(domain);
            config.evacuation_at(&path).is_none()
        };
        let domains: Vec<FailureDomain> = domains.into_iter().filter(is_open).collect();
        if domains.is_empty() {
            return;
        }
        let request = RoomRequest {
            team: found.spec.team.clone(),
            size: found.spec.settings.size,
        };
        let others = Arc::clone(&self.context.other_domains);
        self.departure = Some(Departure::Probing { run: run.clone() });
        self.relocations.spawn(async move {
            let mut found = None;
            for domain in domains {
                match others.room(&domain, &run, &request).await {
                    Ok(room) if room >= needed => {
                        found = Some((domain, room));
                        break;
                    }
                    Ok(_) => {}
                    Err(error) => warn!("shard: room in {domain} is unknown: {error}"),
                }
            }
            RelocationResult::Room { run, found }
        });
    }

    /// Returns how many tasks of a run must find room elsewhere, if the run may leave.
    ///
    /// A run stays whose attempts would lose their progress, or whose lost attempts may turn out to be
    /// done.
    fn needed_room(&self, id: &RunId) -> Option<u64> {
        let run = self.state.runs().get(id)?;
        let settings = &run.spec.settings;
        let has_lost = self
            .state
            .lost_attempts()
            .keys()
            .any(|attempt| attempt.task.run == *id);
        let keeps_progress = run.open_tasks() == 0 || settings.checkpointable;
        let may_leave = run.status == RunStatus::Active
            && keeps_progress
            && !has_lost
            && settings.tasks <= MOVED_TASKS_MAX;
        may_leave.then(|| u64::from(run.open_tasks()).max(1))
    }

    pub(super) fn handle_relocation(&mut self, result: RelocationResult) {
        match result {
            RelocationResult::Room { run, found } => self.handle_room(run, found),
            RelocationResult::Delivered { run } => {
                self.queued_moves.push_back(ShardEvent::Delivered { run });
            }
        }
    }

    fn handle_room(&mut self, run: RunId, found: Option<(FailureDomain, u64)>) {
        if self.departure != Some(Departure::Probing { run: run.clone() }) {
            return;
        }
        self.departure = None;
        let needed = self.needed_room(&run);
        let is_evacuated = matches!(self.start_gate.hold(), Some(StartHold::Evacuated { .. }));
        let (Some((to, room)), Some(needed), true) = (found, needed, is_evacuated) else {
            return;
        };
        if room < needed {
            return;
        }
        info!(
            "shard: run {run} leaves {} for {to}, which has room for {room} tasks; {needed} needed",
            self.context.shard
        );
        let until_ms = self.now_ms() + LEAVING_MAX.as_millis() as u64;
        self.departure = Some(Departure::Stopping { run, to, until_ms });
    }

    fn advance_stopping(&mut self, run: RunId, to: FailureDomain, until_ms: u64) {
        let is_active = |run: &Run| run.status == RunStatus::Active;
        if !self.state.runs().get(&run).is_some_and(is_active) || self.now_ms() > until_ms {
            self.departure = None;
            return;
        }
        if !self.state.has_unsettled_attempts(&run) {
            let event = ShardEvent::Move {
                run: run.clone(),
                to,
            };
            self.queued_moves.push_back(event);
            self.departure = Some(Departure::Recording { run });
            return;
        }
        let open = self.state.open_attempts().keys();
        let of_run = open.filter(|attempt| attempt.task.run == run);
        let not_stopping = of_run.filter(|attempt| !self.evicting.contains(*attempt));
        let attempts: Vec<AttemptId> = not_stopping.cloned().collect();
        for attempt in attempts {
            self.context.metrics.evacuated_attempts.inc();
            self.send_evict(&attempt);
            self.evicting.insert(attempt);
        }
    }

    /// Handles the record of a move, whether it was accepted or not.
    pub(super) fn finish_departure(&mut self, run: &RunId) {
        if self.departure == Some(Departure::Recording { run: run.clone() }) {
            self.departure = None;
        }
    }

    /// Hands over the runs that have left, until each was adopted.
    fn deliver_moved_runs(&mut self) {
        let undelivered = self.state.undelivered_runs().iter();
        let waiting: Vec<RunId> = undelivered
            .filter(|run| !self.deliveries.contains(*run))
            .cloned()
            .collect();
        for run in waiting {
            if let Some((to, moved)) = self.state.moved_run(&run) {
                self.deliveries.insert(run);
                let others = Arc::clone(&self.context.other_domains);
                self.relocations.spawn(deliver(others, to, moved));
            }
        }
        self.deliveries
            .retain(|run| self.state.undelivered_runs().contains(run));
    }
}

async fn deliver(
    others: Arc<dyn OtherDomains>,
    to: FailureDomain,
    moved: MovedRun,
) -> RelocationResult {
    let run = moved.run.clone();
    while let Err(error) = others.deliver(&to, &moved).await {
        warn!("shard: run {run} was not handed over to {to} yet: {error}");
        tokio::time::sleep(DELIVERY_RETRY_INTERVAL).await;
    }
    info!("shard: run {run} was handed over to {to}");
    RelocationResult::Delivered { run }
}
