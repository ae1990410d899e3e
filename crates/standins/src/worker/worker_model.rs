use std::collections::BTreeMap;

use dotterelhook_borders::worker::AttemptReport;
use dotterelhook_borders::worker::AttemptStatus;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::RenewBody;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_borders::worker::UsageSample;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// The time during which an attempt ran on a worker, by the clock of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptInterval {
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The start of the attempt.
    pub from_ms: u64,
    /// The end of the attempt; `None` while the attempt runs.
    pub to_ms: Option<u64>,
}

/// Why a worker refused a call; no attempt was started and no lease extended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WorkerRefusal {
    /// The attempt has already ended or was stopped before its start.
    Ended,
    /// The free capacity is less than the size of the attempt.
    Full,
    /// The call was meant for another incarnation of the worker.
    OtherIncarnation,
    /// An owner with a later epoch has already called.
    StaleEpoch,
    /// The requested lease ends in the past.
    Expired,
}

#[derive(Clone, Debug)]
struct Attempt {
    status: AttemptStatus,
    size: Resources,
    start_offset: Offset,
    lease_until_ms: u64,
    done_at_ms: u64,
    checkpoint: Option<Box<str>>,
    cause: Option<Box<str>>,
}

/// The state machine of a worker's agent, driven by the caller's clock.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    worker: WorkerId,
    incarnation: Incarnation,
    capacity: Resources,
    fails_all: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    epoch: Epoch,
    forgotten_offset: Option<Offset>,
    intervals: Vec<AttemptInterval>,
    peak_usage: Resources,
    usage: Vec<UsageSample>,
}

impl WorkerModel {
    /// Creates an idle worker with an empty inventory.
    pub fn new(worker: WorkerId, incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            worker,
            incarnation,
            capacity,
            fails_all: false,
            attempts: BTreeMap::new(),
            epoch: Epoch(0),
            forgotten_offset: None,
            intervals: Vec::new(),
            peak_usage: Resources::default(),
            usage: Vec::new(),
        }
    }

    /// Replaces the delayed usage measurements that the inventory reports.
    pub fn set_usage(&mut self, usage: Vec<UsageSample>) {
        self.usage = usage;
    }

    /// Sets whether attempts fail: new ones at once, running ones at the end of their run time.
    pub fn set_fails_all(&mut self, fails_all: bool) {
        self.fails_all = fails_all;
    }

    /// Changes the capacity, as after a partial hardware failure; running attempts keep running.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Restarts the worker; running attempts lapse, and attempts and epoch are lost.
    pub fn restart(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.advance(now_ms);
        let running: Vec<AttemptId> = self.running().cloned().collect();
        for attempt in running {
            self.finish(&attempt, AttemptStatus::Lapsed, now_ms);
        }
        self.attempts.clear();
        self.epoch = Epoch(0);
        self.forgotten_offset = None;
        self.incarnation = incarnation;
    }

    /// Returns the intervals of all attempts in order of their start, across restarts.
    pub fn intervals(&self) -> &[AttemptInterval] {
        &self.intervals
    }

    /// Returns the peak of the summed sizes of running attempts, for each dimension separately.
    pub fn peak_usage(&self) -> Resources {
        self.peak_usage
    }

    /// Ends attempts that are done or whose lease has expired, in order of their end.
    pub fn advance(&mut self, now_ms: u64) {
        let due = |attempt: &Attempt| attempt.done_at_ms.min(attempt.lease_until_ms);
        let running = self
            .attempts
            .iter()
            .filter(|(_, a)| a.status == AttemptStatus::Running);
        let mut ended: Vec<(u64, AttemptId, AttemptStatus)> = running
            .filter(|(_, attempt)| due(attempt) <= now_ms)
            .map(|(id, attempt)| {
                let status = match (attempt.done_at_ms <= attempt.lease_until_ms, self.fails_all) {
                    (false, _) => AttemptStatus::Lapsed,
                    (true, true) => AttemptStatus::Failed,
                    (true, false) => AttemptStatus::Succeeded,
                };
                (due(attempt), id.clone(), status)
            })
            .collect();
        ended.sort_by_key(|(at_ms, _, _)| *at_ms);
        for (at_ms, id, status) in ended {
            self.finish(&id, status, at_ms);
        }
    }

    /// Starts an attempt; a repeated start of a running attempt succeeds without effect.
    ///
    /// # Errors
    /// The attempt does not run, for the returned reason.
    pub fn start(
        &mut self,
        attempt: &AttemptId,
        body: &StartBody,
        now_ms: u64,
    ) -> Result<(), WorkerRefusal> {
        self.advance(now_ms);
        self.check_epoch(body.epoch)?;
        if body.worker_incarnation != self.incarnation {
            return Err(WorkerRefusal::OtherIncarnation);
        }
        if let Some(known) = self.attempts.get(attempt) {
            let runs = known.status == AttemptStatus::Running;
            return if runs {
                Ok(())
            } else {
                Err(WorkerRefusal::Ended)
            };
        }
        if self.is_forgotten(body.start_offset) {
            self.insert_tombstone(attempt, body.start_offset);
            return Err(WorkerRefusal::Ended);
        }
        if body.lease_until_ms <= now_ms {
            return Err(WorkerRefusal::Expired);
        }
        let used = self.used().saturating_add(&body.size);
        if !used.fits_in(&self.capacity) {
            return Err(WorkerRefusal::Full);
        }
        self.insert_running(attempt, body, now_ms);
        self.peak_usage = Resources {
            cpu_milli: self.peak_usage.cpu_milli.max(used.cpu_milli),
            memory_mb: self.peak_usage.memory_mb.max(used.memory_mb),
            accelerators: self.peak_usage.accelerators.max(used.accelerators),
        };
        Ok(())
    }

    fn insert_running(&mut self, attempt: &AttemptId, body: &StartBody, now_ms: u64) {
        let run_time_ms = if self.fails_all { 0 } else { body.run_time_ms };
        let started = Attempt {
            status: AttemptStatus::Running,
            size: body.size,
            start_offset: body.start_offset,
            lease_until_ms: body.lease_until_ms,
            done_at_ms: now_ms + run_time_ms,
            checkpoint: body.checkpoint.clone(),
            cause: None,
        };
        self.attempts.insert(attempt.clone(), started);
        self.intervals.push(AttemptInterval {
            attempt: attempt.clone(),
            from_ms: now_ms,
            to_ms: None,
        });
    }

    /// Extends leases; an expired lease is not revived, and no lease is shortened.
    ///
    /// # Errors
    /// No lease was extended, for the returned reason.
    pub fn renew(&mut self, body: &RenewBody, now_ms: u64) -> Result<(), WorkerRefusal> {
        self.advance(now_ms);
        self.check_epoch(body.epoch)?;
        if body.worker_incarnation != Some(self.incarnation) {
            return Ok(());
        }
        for id in &body.attempts {
            if let Some(attempt) = self.attempts.get_mut(id)
                && attempt.status == AttemptStatus::Running
            {
                attempt.lease_until_ms = attempt.lease_until_ms.max(body.lease_until_ms);
            }
        }
        Ok(())
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), WorkerRefusal> {
        if epoch < self.epoch {
            return Err(WorkerRefusal::StaleEpoch);
        }
        self.epoch = epoch;
        Ok(())
    }

    fn is_forgotten(&self, start_offset: Offset) -> bool {
        self.forgotten_offset
            .is_some_and(|forgotten| start_offset <= forgotten)
    }

    /// Records an attempt that never ran here as stopped, so that a late start is refused.
    fn insert_tombstone(&mut self, id: &AttemptId, start_offset: Offset) {
        let tombstone = Attempt {
            status: AttemptStatus::Stopped,
            size: Resources::default(),
            start_offset,
            lease_until_ms: 0,
            done_at_ms: 0,
            checkpoint: None,
            cause: None,
        };
        self.attempts.insert(id.clone(), tombstone);
    }

    /// Takes a checkpoint of an attempt and returns its name; `None` if the attempt does not run.
    pub fn checkpoint(&mut self, id: &AttemptId, now_ms: u64) -> Option<Box<str>> {
        self.advance(now_ms);
        let attempt = self.attempts.get_mut(id)?;
        if attempt.status != AttemptStatus::Running {
            return None;
        }
        attempt.checkpoint = Some(format!("{id}@{now_ms}").into());
        attempt.checkpoint.clone()
    }

    /// Stops an attempt; a start of an unknown attempt that arrives later is refused.
    pub fn stop(&mut self, id: &AttemptId, body: &StopBody, now_ms: u64) {
        self.advance(now_ms);
        match self.attempts.get(id).map(|attempt| attempt.status) {
            None => self.insert_tombstone(id, body.start_offset),
            Some(AttemptStatus::Running) => self.finish(id, AttemptStatus::Stopped, now_ms),
            Some(_) => {}
        }
    }

    /// Removes an ended attempt from the inventory.
    ///
    /// From then on, the start of an unknown attempt with the same or an earlier start offset is
    /// refused.
    pub fn forget(&mut self, id: &AttemptId) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        if attempt.status != AttemptStatus::Running {
            self.forgotten_offset = self.forgotten_offset.max(Some(attempt.start_offset));
            self.attempts.remove(id);
        }
    }

    /// Returns the capacity, attempts and usage of the worker at a time.
    pub fn inventory(&mut self, now_ms: u64) -> Inventory {
        self.advance(now_ms);
        let attempts = self.attempts.iter().map(|(id, attempt)| AttemptReport {
            attempt: id.clone(),
            status: attempt.status,
            size: attempt.size,
            start_offset: attempt.start_offset,
            checkpoint: attempt.checkpoint.clone(),
            cause: attempt.cause.clone(),
        });
        Inventory {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            now_ms,
            capacity: self.capacity,
            attempts: attempts.collect(),
            usage: self.usage.clone(),
        }
    }

    fn running(&self) -> impl Iterator<Item = &AttemptId> {
        let running = self
            .attempts
            .iter()
            .filter(|(_, a)| a.status == AttemptStatus::Running);
        running.map(|(id, _)| id)
    }

    fn used(&self) -> Resources {
        let running = self
            .attempts
            .values()
            .filter(|a| a.status == AttemptStatus::Running);
        running.fold(Resources::default(), |sum, a| sum.saturating_add(&a.size))
    }

    fn finish(&mut self, id: &AttemptId, status: AttemptStatus, at_ms: u64) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.status = status;
            if status == AttemptStatus::Failed {
                attempt.cause = Some("the worker fails everything".into());
            }
        }
        let open = self.intervals.iter_mut().rev().find(|i| i.attempt == *id);
        if let Some(interval) = open {
            interval.to_ms.get_or_insert(at_ms);
        }
    }
}
