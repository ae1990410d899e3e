use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::sizes::Resources;

use super::shard_task::ShardTask;
use super::waiters::Asked;
use super::waiters::Reply;
use crate::run_ledger::ShardCommand;
use crate::run_ledger::SubmitError;

const WAITING_COMMANDS_MAX: usize = 20_000;
const LOG_SILENCE_MS: u64 = 15_000;

impl ShardTask {
    /// Takes in what a submitter or an operator asks.
    pub(super) fn take_command(&mut self, command: ShardCommand) {
        match command {
            ShardCommand::Ledger { reply } => {
                let _ = reply.send(self.ledger());
            }
            ShardCommand::Submit { run, spec, reply } => self.take_submit(run, spec, reply),
            ShardCommand::Cancel {
                run,
                team,
                job,
                reply,
            } => {
                let known = self.state.runs().get(&run);
                let is_other = known.is_some_and(|r| r.spec.team != team || r.spec.job != job);
                if is_other {
                    let error = SubmitError::Refused(ShardRefusal::UnknownRun);
                    let _ = reply.send(Err(error));
                    return;
                }
                self.ask(
                    Asked::Cancel,
                    run.clone(),
                    reply,
                    ShardEvent::Cancel { run },
                );
            }
        }
    }

    fn take_submit(&mut self, run: RunId, spec: Box<RunSpec>, reply: Reply) {
        let is_known = self.state.runs().contains_key(&run);
        if !is_known
            && self.is_owner()
            && let Some(reason) = self.never_runs(&spec.settings.size)
        {
            let _ = reply.send(Err(SubmitError::NeverRuns(reason)));
            return;
        }
        let event = ShardEvent::Submit {
            run: run.clone(),
            spec,
        };
        self.ask(Asked::Submit, run, reply, event);
    }

    /// Lines an event up, unless it can't be recorded soon.
    fn ask(&mut self, asked: Asked, run: RunId, reply: Reply, event: ShardEvent) {
        let silence_ms = self.now_ms().saturating_sub(self.log_contact_ms);
        let error = if !self.is_owner() || self.is_releasing {
            Some(SubmitError::NotOwner)
        } else if silence_ms > LOG_SILENCE_MS || self.asked.len() >= WAITING_COMMANDS_MAX {
            Some(SubmitError::Busy)
        } else {
            None
        };
        if let Some(error) = error {
            let _ = reply.send(Err(error));
            return;
        }
        if self.waiters.add(&run, asked, reply) {
            self.asked.push_back(event);
        }
    }

    /// Returns why a task of this size can never run here, if all workers are known.
    pub(super) fn never_runs(&self, size: &Resources) -> Option<Box<str>> {
        let hosts = self.context.hosts.current();
        let mut own = hosts
            .workers
            .iter()
            .filter(|entry| self.is_own_worker(entry));
        let workers = self.state.workers();
        let all_known = own.all(|entry| workers.contains_key(&entry.worker));
        let fits = workers.values().any(|w| size.fits_in(&w.capacity));
        if workers.is_empty() || !all_known || fits {
            return None;
        }
        let largest = workers.values().max_by_key(|w| w.capacity.cpu_milli)?;
        let (worker, _) = workers.iter().find(|(_, account)| *account == largest)?;
        let capacity = &largest.capacity;
        let reason = format!(
            "a task needs {size}, but no worker has that; the largest, {worker}, has {capacity}; \
             too large for it: {}",
            missing(size, capacity)
        );
        Some(reason.into())
    }
}

fn missing(size: &Resources, capacity: &Resources) -> String {
    let mut names = Vec::new();
    if size.cpu_milli > capacity.cpu_milli {
        names.push("cpu_milli");
    }
    if size.memory_mb > capacity.memory_mb {
        names.push("memory_mb");
    }
    if size.accelerators > capacity.accelerators {
        names.push("accelerators");
    }
    if names.is_empty() {
        names.push("no single resource, but no worker has all of them");
    }
    names.join(", ")
}
