//! Measures placement by the number of workers, running tasks and waiting runs, and the size of
//! the records on the log.

mod least_used;

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_scheduler::placement::DeclaredSizes;
use dotterelhook_scheduler::placement::EvictionContext;
use dotterelhook_scheduler::placement::EvictionPolicy;
use dotterelhook_scheduler::placement::FewestVictims;
use dotterelhook_scheduler::placement::IndexedPlacer;
use dotterelhook_scheduler::placement::Placement;
use dotterelhook_scheduler::placement::PlacementContext;
use dotterelhook_scheduler::placement::Placer;
use dotterelhook_scheduler::placement::Proposal;
use dotterelhook_scheduler::placement::Shortfall;
use dotterelhook_scheduler::placement::UnrestrictedColocation;
use dotterelhook_scheduler::quota::NoQuotas;
use dotterelhook_state::config::BatchJob;
use dotterelhook_state::config::Priority;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use hdrhistogram::Histogram;
use least_used::LeastUsed;

const LONG_WAIT: Duration = Duration::from_secs(900);
const TASKS_PER_WORKER: f64 = 79_000.0 / 8_400.0;
const STARTS_PER_SECOND: f64 = 2_200.0;
const ROUNDS: usize = 200;
const LEAST_USED_ROUNDS: usize = 5;
/// Workers whose index is a multiple of this number are leaving and get no new tasks.
const LEAVING_WORKER_INTERVAL: usize = 20;
const NOW_UNIX_MS: u64 = 1_800_000_000_000;

/// One size of a shard with its load.
struct Case {
    workers: usize,
    waiting_runs: usize,
    starts_per_round: usize,
}

/// A shard with its placement index, and the accumulated time and bytes of its records.
struct Shard {
    state: ShardState,
    placer: IndexedPlacer,
    host: HostId,
    apply_time: Duration,
    observe_time: Duration,
    records: u64,
    bytes: u64,
    events: Vec<ShardEvent>,
}

impl Shard {
    fn new() -> Self {
        let mut shard = Self {
            state: ShardState::default(),
            placer: IndexedPlacer::new(LONG_WAIT),
            host: "entry-fukuoka-1".parse().expect("the name is valid"),
            apply_time: Duration::ZERO,
            observe_time: Duration::ZERO,
            records: 0,
            bytes: 0,
            events: Vec::new(),
        };
        shard.record(ShardEvent::Claim);
        shard
    }

    fn record(&mut self, event: ShardEvent) {
        let offset = self.state.next_offset();
        let record = ShardRecord {
            host: self.host.clone(),
            incarnation: Incarnation(1_764_800_000_000),
            sequence: Sequence(offset.0 + 1),
            epoch: Epoch(1),
            event: event.clone(),
        };
        let payload = serde_json::to_string(&record).expect("records are plain data");
        let from = Instant::now();
        let result = self.state.apply(offset, &payload);
        self.apply_time += from.elapsed();
        result.expect("the fold accepts what placement proposes");
        let from = Instant::now();
        self.placer.observe(&self.state, &event, NOW_UNIX_MS);
        self.observe_time += from.elapsed();
        self.records += 1;
        self.bytes += payload.len() as u64;
    }

    fn start(&mut self, proposal: Proposal) {
        let event = ShardEvent::Start {
            attempt: proposal.attempt,
            worker: proposal.worker,
            size: proposal.size,
        };
        self.events.push(event.clone());
        self.record(event);
    }

    fn end(&mut self, attempt: AttemptId) {
        let end = AttemptEnd::Succeeded;
        let event = ShardEvent::End { attempt, end };
        self.events.push(event.clone());
        self.record(event);
    }

    fn submit(&mut self, run: String, team: usize, tasks: u32, priority: Priority) {
        let settings = BatchJob {
            tasks,
            size: Resources::new(1_500 + 100 * (team as u64), 6_000),
            run_time_ms: 36_000,
            deadline_ms: 28_800_000,
            priority,
            checkpointable: true,
            attempts_max: 4,
        };
        let spec = RunSpec {
            team: format!("team-{team}").parse().expect("valid"),
            job: "nesting".parse().expect("valid"),
            deadline_at_unix_ms: NOW_UNIX_MS + settings.deadline_ms,
            settings,
        };
        let run = run.parse().expect("valid");
        self.record(ShardEvent::Submit {
            run,
            spec: Box::new(spec),
        });
    }

    fn propose(&mut self, starts_max: usize) -> Placement {
        self.placer.propose(&PlacementContext {
            quotas: &NoQuotas,
            sizes: &DeclaredSizes,
            colocation: &UnrestrictedColocation,
            is_usable: &is_usable,
            is_quarantined: &|_| false,
            has_all_inventories: true,
            now_unix_ms: NOW_UNIX_MS,
            starts_max,
        })
    }
}

fn is_usable(worker: &WorkerId) -> bool {
    let digits = worker.as_str().rsplit('-').next().unwrap_or_default();
    let index: usize = digits.parse().unwrap_or_default();
    !index.is_multiple_of(LEAVING_WORKER_INTERVAL)
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// Creates a shard with workers, 9.4 running tasks per worker, and waiting runs.
fn fill(case: &Case) -> Shard {
    let mut shard = Shard::new();
    for index in 0..case.workers {
        shard.record(ShardEvent::Worker {
            worker: format!("worker-fukuoka-{index}").parse().expect("valid"),
            incarnation: Incarnation(1),
            capacity: Resources::new(32_000, 125_000),
        });
    }
    let running = (case.workers as f64 * TASKS_PER_WORKER) as usize;
    for run in 0..running.div_ceil(100) {
        shard.submit(
            format!("night-2026-12-03-{run:05}"),
            run % 8,
            100,
            Priority::Normal,
        );
    }
    let mut left = running;
    while left > 0 {
        let placement = shard.propose(left.min(500));
        if placement.starts.is_empty() {
            break;
        }
        left -= placement.starts.len();
        for proposal in placement.starts {
            shard.start(proposal);
        }
    }
    let tasks = (case.starts_per_round * ROUNDS * 2 / case.waiting_runs).max(1);
    for run in 0..case.waiting_runs {
        let run_id = format!("wait-2026-12-03-{run:05}");
        shard.submit(run_id, run % 8, tasks as u32, Priority::Low);
    }
    shard
}

/// Measures placement rounds, in each of which the same number of tasks ends and starts.
fn measure_indexed(case: &Case) {
    let before_kb = resident_kb();
    let mut shard = fill(case);
    let with_placer_kb = resident_kb();
    let from = Instant::now();
    let mut rebuilt = IndexedPlacer::new(LONG_WAIT);
    rebuilt.rebuild(&shard.state);
    let rebuild = from.elapsed();
    let placer_kb = resident_kb().saturating_sub(with_placer_kb);
    drop(rebuilt);
    (shard.apply_time, shard.observe_time) = (Duration::ZERO, Duration::ZERO);
    let mut rounds = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut starts = 0;
    let mut propose = Duration::ZERO;
    for _ in 0..ROUNDS {
        let open = shard.state.open_attempts().keys();
        let ending: Vec<AttemptId> = open.take(case.starts_per_round).cloned().collect();
        ending.into_iter().for_each(|attempt| shard.end(attempt));
        let from = Instant::now();
        let placement = shard.propose(case.starts_per_round);
        let elapsed = from.elapsed();
        propose += elapsed;
        rounds.record(elapsed.as_nanos() as u64).expect("resizes");
        starts += placement.starts.len();
        placement.starts.into_iter().for_each(|p| shard.start(p));
    }
    let per_start = |time: Duration| time.as_secs_f64() * 1e6 / starts.max(1) as f64;
    let index_us = per_start(propose) + per_start(shard.observe_time);
    println!(
        "{:>7} {:>7} {:>7} {:>6} {:>9.0} {:>9.3} {:>8.2} {:>8.2} {:>8.2} {:>9.2} {:>8.1} {:>8.1} {:>8.1}",
        case.workers,
        shard.state.open_attempts().len(),
        case.waiting_runs,
        case.starts_per_round,
        starts as f64 / propose.as_secs_f64(),
        rounds.value_at_quantile(0.99) as f64 / 1e6,
        per_start(propose),
        per_start(shard.observe_time),
        per_start(shard.apply_time),
        index_us * STARTS_PER_SECOND / 1e4,
        rebuild.as_secs_f64() * 1e3,
        placer_kb as f64 / 1e3,
        with_placer_kb.saturating_sub(before_kb) as f64 / 1e3,
    );
}

fn measure_least_used(case: &Case) {
    let mut shard = fill(case);
    let mut starts = 0;
    let mut propose = Duration::ZERO;
    for _ in 0..LEAST_USED_ROUNDS {
        let open = shard.state.open_attempts().keys();
        let ending: Vec<AttemptId> = open.take(case.starts_per_round).cloned().collect();
        ending.into_iter().for_each(|attempt| shard.end(attempt));
        let from = Instant::now();
        let proposals = LeastUsed.propose(&shard.state, &is_usable, case.starts_per_round);
        propose += from.elapsed();
        starts += proposals.len();
        proposals.into_iter().for_each(|p| shard.start(p));
    }
    println!(
        "{:>7} {:>7} {:>6} {:>12.0} starts/s",
        case.workers,
        shard.state.open_attempts().len(),
        case.starts_per_round,
        starts as f64 / propose.as_secs_f64(),
    );
}

/// Measures the selection of eviction victims for urgent tasks on full workers.
fn measure_evictions(case: &Case, tasks: usize) {
    let mut shard = fill(case);
    loop {
        let placement = shard.propose(500);
        if placement.starts.is_empty() {
            break;
        }
        placement.starts.into_iter().for_each(|p| shard.start(p));
    }
    let from = Instant::now();
    let loads = shard.placer.worker_loads();
    let read = from.elapsed();
    let shortfalls = [Shortfall {
        run: "urgent".parse().expect("valid"),
        size: Resources::new(8_000, 24_000),
        tasks,
    }];
    let from = Instant::now();
    let evictions = FewestVictims.choose(&EvictionContext {
        shortfalls: &shortfalls,
        loads: &loads,
        pending: &BTreeSet::new(),
        is_usable: &is_usable,
        evictions_max: usize::MAX,
    });
    println!(
        "{:>7} {:>7} {tasks:>6} {:>8} {:>8.1} {:>8.1}",
        case.workers,
        shard.state.open_attempts().len(),
        evictions.len(),
        read.as_secs_f64() * 1e3,
        from.elapsed().as_secs_f64() * 1e3,
    );
}

/// Prints the size of start and end records as JSON and in alternative encodings.
fn measure_records() {
    let case = Case {
        workers: 500,
        waiting_runs: 100,
        starts_per_round: 50,
    };
    let mut shard = fill(&case);
    shard.events.clear();
    let (records_before, bytes_before) = (shard.records, shard.bytes);
    let open = shard.state.open_attempts().keys().take(500);
    let ending: Vec<AttemptId> = open.cloned().collect();
    ending.into_iter().for_each(|attempt| shard.end(attempt));
    let placement = shard.propose(500);
    placement.starts.into_iter().for_each(|p| shard.start(p));
    let records = (shard.records - records_before) as f64;
    let json = (shard.bytes - bytes_before) as f64 / records;
    let config = bincode::config::standard();
    let size = |events: &[ShardEvent]| {
        let header = (
            &shard.host,
            Incarnation(1_764_800_000_000),
            Epoch(1),
            Sequence(1),
        );
        let encoded = bincode::serde::encode_to_vec((header, events), config);
        encoded.expect("records are plain data").len() as f64
    };
    let single: f64 = shard
        .events
        .iter()
        .map(|e| size(std::slice::from_ref(e)))
        .sum();
    let single = single / records;
    let batched: f64 = shard.events.chunks(100).map(size).sum::<f64>() / records;
    let base64 = 4.0 / 3.0;
    let rate = 2.0 * STARTS_PER_SECOND;
    println!("bytes of a record (starts and ends in equal number) and of {rate} records/s:");
    for (name, bytes) in [
        ("JSON, one record each", json),
        ("bincode in base64, one record each", single * base64),
        (
            "bincode in base64, 100 records under one header",
            batched * base64,
        ),
    ] {
        println!("  {name}: {bytes:.1} B, {:.1} kB/s", bytes * rate / 1e3);
    }
}

fn main() {
    println!(
        "workers running waiting starts  starts/s  p99round  propose  observe     fold  index+obs  rebuild    index      all"
    );
    println!(
        "                   runs /round  (propose)        ms us/start us/start us/start  % of core       ms       MB       MB"
    );
    for waiting_runs in [100, 10_000] {
        for starts_per_round in [50, 500] {
            for workers in [50, 500, 2_100, 8_400] {
                measure_indexed(&Case {
                    workers,
                    waiting_runs,
                    starts_per_round,
                });
            }
        }
    }
    println!("least used, the policy before:");
    for workers in [50, 500, 2_100, 8_400] {
        measure_least_used(&Case {
            workers,
            waiting_runs: 100,
            starts_per_round: 50,
        });
    }
    println!("workers running urgent  victims  read ms choose ms");
    for workers in [50, 500, 2_100, 8_400] {
        let case = Case {
            workers,
            waiting_runs: 100,
            starts_per_round: 500,
        };
        measure_evictions(&case, 50);
    }
    measure_records();
}
