use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;

use super::log_pages::AttemptEnding;
use super::shard_task::ShardTask;
use crate::interference::Action;
use crate::interference::ActionKind;
use crate::worker::WorkerCommand;

const FULL_CPU_PERCENT: u32 = 100;
const THROTTLED_CPU_PERCENT: u32 = 50;

impl ShardTask {
    /// Applies the actions that the interference controller requests.
    pub(super) fn apply_interference_actions(&mut self) {
        let now_ms = self.now_ms();
        for action in self.interference.controller.next_actions(now_ms) {
            if !self.state.open_attempts().contains_key(&action.attempt) {
                continue;
            }
            if !self.apply_action(&action) {
                continue;
            }
            let Action {
                attempt,
                worker,
                kind,
            } = action;
            self.interference
                .controller
                .record_action(&worker, &attempt, kind, now_ms);
        }
    }

    /// Applies an action and returns whether it was handed to the worker's task. The controller
    /// requests an action again that was not.
    fn apply_action(&mut self, action: &Action) -> bool {
        let (attempt, worker) = (&action.attempt, &action.worker);
        info!(
            "shard: {} attempt {attempt} on {worker} to protect its services",
            action.kind
        );
        match action.kind {
            ActionKind::Release => self.throttle(attempt, worker, FULL_CPU_PERCENT),
            ActionKind::Throttle => self.throttle(attempt, worker, THROTTLED_CPU_PERCENT),
            ActionKind::Evict => {
                self.context.metrics.interference_evictions.inc();
                self.send_evict(attempt);
                self.evicting.insert(attempt.clone());
                true
            }
        }
    }

    fn throttle(&self, attempt: &AttemptId, worker: &WorkerId, cpu_percent: u32) -> bool {
        let handle = self.workers.get(worker);
        handle.is_some_and(|handle| {
            handle.send(WorkerCommand::Throttle(attempt.clone(), cpu_percent))
        })
    }

    /// Reports started and ended attempts to the interference controller.
    pub(super) fn notify_controller(&mut self, event: &ShardEvent, endings: &[AttemptEnding]) {
        let now_ms = self.now_ms();
        if let ShardEvent::Start { attempt, .. } = event {
            self.interference.record_start(&self.state, attempt, now_ms);
        }
        for ending in endings {
            let controller = &mut self.interference.controller;
            controller.record_end(&ending.worker, &ending.attempt, now_ms);
        }
    }
}
