use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use spdlog::info;

use super::read_back::Ending;
use super::shard_task::ShardTask;
use crate::interference::Action;
use crate::interference::Step;
use crate::worker::WorkerCommand;

const FULL_SPEED_PERCENT: u32 = 100;
const THROTTLED_PERCENT: u32 = 50;

impl ShardTask {
    /// Takes the steps that the interference controller asks for.
    pub(super) fn protect_services(&mut self) {
        let now_ms = self.now_ms();
        for action in self.interference.controller.act(now_ms) {
            if !self.state.open_attempts().contains_key(&action.attempt) {
                continue;
            }
            self.take_step(&action);
            let Action {
                attempt,
                worker,
                step,
            } = action;
            self.interference
                .controller
                .stepped(&worker, &attempt, step, now_ms);
        }
    }

    fn take_step(&mut self, action: &Action) {
        let (attempt, worker) = (&action.attempt, &action.worker);
        info!(
            "shard: {} {attempt} on {worker} for its services",
            action.step
        );
        match action.step {
            Step::Release => self.throttle(attempt, worker, FULL_SPEED_PERCENT),
            Step::Throttle => self.throttle(attempt, worker, THROTTLED_PERCENT),
            Step::Evict => {
                self.context.metrics.interference_evictions.inc();
                self.evict(attempt);
                self.evicting.insert(attempt.clone());
            }
        }
    }

    fn throttle(&self, attempt: &AttemptId, worker: &WorkerId, cpu_percent: u32) {
        if let Some(handle) = self.workers.get(worker) {
            handle.send(WorkerCommand::Throttle(attempt.clone(), cpu_percent));
        }
    }

    /// Tells the interference controller of an accepted event.
    pub(super) fn watch(&mut self, event: &ShardEvent, endings: &[Ending]) {
        let now_ms = self.now_ms();
        if let ShardEvent::Start { attempt, .. } = event {
            self.interference.start(&self.state, attempt, now_ms);
        }
        for ending in endings {
            let controller = &mut self.interference.controller;
            controller.ended(&ending.worker, &ending.attempt, now_ms);
        }
    }
}
