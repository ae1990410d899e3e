//! Builders of a shard's events, and a shard with an owner.
#![allow(dead_code)]

use std::collections::BTreeMap;

use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::sizes::Resources;

pub(crate) fn capacity() -> Resources {
    Resources::new(4_000, 16_000)
}

pub(crate) fn run_id(index: usize) -> RunId {
    format!("run-{index}").parse().expect("a name")
}

pub(crate) fn attempt(run: usize, task: u32, number: u32) -> AttemptId {
    format!("run-{run}:{task}:{number}").parse().expect("an id")
}

pub(crate) fn submit(run: usize, tasks: u32) -> ShardEvent {
    let settings = serde_json::json!({
        "tasks": tasks,
        "size": { "cpu_milli": 1_500, "memory_mb": 100 },
        "run_time_ms": 1_000,
        "deadline_ms": 60_000,
        "attempts_max": 2,
    });
    ShardEvent::Submit {
        run: run_id(run),
        spec: Box::new(RunSpec {
            team: "night".parse().expect("a name"),
            job: format!("job-{run}").parse().expect("a name"),
            settings: serde_json::from_value(settings).expect("a job"),
            deadline_at_unix_ms: 1_000,
        }),
    }
}

pub(crate) fn domain() -> FailureDomain {
    "pampanga".parse().expect("a name")
}

/// Adopts a run of two tasks, of which the first is done.
pub(crate) fn adopt(run: usize, moves: u32) -> ShardEvent {
    let ShardEvent::Submit { spec, run } = submit(run, 2) else {
        unreachable!("a submission");
    };
    let waiting = TaskState::Waiting {
        attempts: 1,
        failures: 0,
        checkpoint: Some("c".into()),
    };
    let moved = MovedRun {
        run,
        spec,
        moves,
        tasks: vec![TaskState::Done, waiting],
        failed_on: BTreeMap::new(),
        crashes: BTreeMap::new(),
        is_overdue: false,
    };
    let moved = Box::new(moved);
    ShardEvent::Adopt { moved }
}

pub(crate) fn worker(index: usize, incarnation: u64) -> ShardEvent {
    ShardEvent::Worker {
        worker: format!("w{index}").parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        capacity: capacity(),
    }
}

pub(crate) fn start(run: usize, task: u32, number: u32, at: usize) -> ShardEvent {
    ShardEvent::Start {
        attempt: attempt(run, task, number),
        worker: format!("w{at}").parse().expect("a name"),
        size: Resources::new(1_500, 100),
    }
}

pub(crate) fn end(run: usize, task: u32, number: u32, end: AttemptEnd) -> ShardEvent {
    let attempt = attempt(run, task, number);
    ShardEvent::End { attempt, end }
}

pub(crate) fn failed() -> AttemptEnd {
    AttemptEnd::Failed {
        cause: "broken".into(),
    }
}

pub(crate) fn record(host: &str, epoch: u64, sequence: u64, event: ShardEvent) -> ShardRecord {
    ShardRecord {
        host: host.parse().expect("a name"),
        incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        epoch: Epoch(epoch),
        event,
    }
}

/// A shard whose owner appends records in sequence.
pub(crate) struct OwnedShard {
    pub(crate) state: ShardState,
    offset: u64,
}

impl OwnedShard {
    pub(crate) fn new() -> Self {
        let mut shard = Self {
            state: ShardState::default(),
            offset: 0,
        };
        let claim = record("h0", 1, 1, ShardEvent::Claim);
        assert_eq!(shard.apply(claim), Ok(()));
        shard
    }

    pub(crate) fn apply(&mut self, record: ShardRecord) -> Result<(), ShardRefusal> {
        let offset = Offset(self.offset);
        self.offset += 1;
        self.state.apply_record(offset, record)
    }

    pub(crate) fn add(&mut self, event: ShardEvent) -> Result<(), ShardRefusal> {
        let record = record("h0", 1, self.offset + 1, event);
        self.apply(record)
    }

    pub(crate) fn add_all(&mut self, events: impl IntoIterator<Item = ShardEvent>) {
        for event in events {
            assert_eq!(self.add(event.clone()), Ok(()), "{event:?}");
        }
    }
}
