//! Measures the fold of one shard: records per second, size and time of a snapshot, memory per
//! running task, and the time of a takeover from a snapshot.
//!
//! `[--tasks N]`: the number of running tasks, by default 60,000.

use std::time::Duration;
use std::time::Instant;

use dotterelhook_standins::server::Arguments;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::SnapshotAssembler;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::sizes::Resources;

const TASKS_PER_RUN: usize = 100;
const TASKS_PER_WORKER: usize = 30;
const PAGE_BYTES: u64 = 4_096;

/// The payloads of a shard's records in log order.
struct Stream {
    payloads: Vec<Box<str>>,
}

impl Stream {
    fn append(&mut self, event: ShardEvent) -> eyre::Result<()> {
        let record = ShardRecord {
            host: "h0".parse()?,
            incarnation: Incarnation(1),
            sequence: Sequence(self.payloads.len() as u64 + 1),
            epoch: Epoch(1),
            event,
        };
        self.payloads.push(serde_json::to_string(&record)?.into());
        Ok(())
    }

    fn bytes(&self) -> usize {
        self.payloads.iter().map(|payload| payload.len()).sum()
    }

    fn apply(&self, state: &mut ShardState) -> Duration {
        let started = Instant::now();
        for (offset, payload) in (0..).zip(&self.payloads) {
            let result = state.apply(Offset(offset), payload);
            assert_eq!(result, Ok(()), "{payload}");
        }
        started.elapsed()
    }
}

fn spec() -> eyre::Result<Box<RunSpec>> {
    let settings = serde_json::json!({
        "tasks": TASKS_PER_RUN,
        "size": { "cpu_milli": 1_000, "memory_mb": 1_000 },
        "run_time_ms": 60_000,
        "deadline_ms": 3_600_000,
    });
    Ok(Box::new(RunSpec {
        team: "template-desk".parse()?,
        job: "nesting".parse()?,
        settings: serde_json::from_value(settings)?,
        deadline_at_unix_ms: 0,
    }))
}

fn attempt(index: usize) -> eyre::Result<AttemptId> {
    let (run, task) = (index / TASKS_PER_RUN, index % TASKS_PER_RUN);
    Ok(format!("night-{run}:{task}:1").parse()?)
}

/// Returns a stream after which the tasks run, and its continuation after which all have ended.
fn build_streams(tasks: usize) -> eyre::Result<(Stream, Stream)> {
    let mut stream = Stream {
        payloads: Vec::new(),
    };
    stream.append(ShardEvent::Claim)?;
    for worker in 0..tasks.div_ceil(TASKS_PER_WORKER) {
        stream.append(ShardEvent::Worker {
            worker: format!("fukuoka-w{worker}").parse()?,
            incarnation: Incarnation(1),
            capacity: Resources::new(32_000, 125_000),
        })?;
    }
    for run in 0..tasks.div_ceil(TASKS_PER_RUN) {
        let run = format!("night-{run}").parse()?;
        let spec = spec()?;
        stream.append(ShardEvent::Submit { run, spec })?;
    }
    for index in 0..tasks {
        stream.append(ShardEvent::Start {
            attempt: attempt(index)?,
            worker: format!("fukuoka-w{}", index / TASKS_PER_WORKER).parse()?,
            size: Resources::new(1_000, 1_000),
        })?;
    }
    let running = stream.payloads.clone();
    for index in 0..tasks {
        stream.append(ShardEvent::End {
            attempt: attempt(index)?,
            end: AttemptEnd::Succeeded,
        })?;
    }
    Ok((Stream { payloads: running }, stream))
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let tasks: usize = arguments.optional("--tasks", 60_000)?;
    arguments.finish()?;
    let (running, whole) = build_streams(tasks)?;
    let before_bytes = resident_bytes();
    let mut state = ShardState::default();
    let fold = running.apply(&mut state);
    let state_bytes = resident_bytes().saturating_sub(before_bytes);
    let records = running.payloads.len();
    let rate = records as f64 / fold.as_secs_f64();
    println!("tasks running: {}", state.open_attempts().len());
    println!("fold: {records} records in {fold:.1?}, {rate:.0} records/s");
    println!("records: {} bytes in all", running.bytes());
    println!(
        "memory: {state_bytes} bytes, {} bytes for each running task",
        state_bytes / tasks as u64
    );

    let started = Instant::now();
    let copy = state.clone();
    let copied = started.elapsed();
    let started = Instant::now();
    let chunks = copy.to_chunks();
    let written = started.elapsed();
    let snapshot_bytes: usize = chunks.iter().map(|chunk| chunk.len()).sum();
    let started = Instant::now();
    let mut reader = SnapshotAssembler::default();
    chunks.iter().for_each(|chunk| reader.add(chunk));
    let restored = reader.into_newest();
    let read = started.elapsed();
    assert_eq!(restored.as_ref(), Some(&state));
    println!("snapshot: {} records, {snapshot_bytes} bytes", chunks.len());
    println!("snapshot: copied in {copied:.1?}, written in {written:.1?}, read in {read:.1?}");
    let ratio = read.as_secs_f64() / fold.as_secs_f64();
    println!("takeover from a snapshot takes {ratio:.2} of the time of the whole fold");

    let mut ended = ShardState::default();
    let fold = whole.apply(&mut ended);
    let records = whole.payloads.len();
    let rate = records as f64 / fold.as_secs_f64();
    println!("fold with all ends: {records} records in {fold:.1?}, {rate:.0} records/s");
    Ok(())
}
