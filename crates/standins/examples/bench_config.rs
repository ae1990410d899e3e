//! Measures the fold, copies, snapshots and route lookups of the configuration by its size.
//!
//! `cargo run --release -p dotterelhook-standins --example bench_config`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_state::config::split_snapshot;
use serde_json::json;

const PATH_COUNTS: [u64; 3] = [10, 130, 1_300];
const ROUNDS: u32 = 20;
const ROUTE_LOOKUPS: u32 = 200_000;
const TEAMS: u64 = 20;

/// Returns the publication that adds a path in round 0 and changes the path in later rounds.
fn publication(number: u64, round: u64, base_offset: Option<u64>) -> String {
    let team = format!("team-{}", number % TEAMS);
    let (path, body) = if number.is_multiple_of(2) {
        let body = json!({
            "path_prefix": format!("/{team}/service-{number}/"),
            "timeout_ms": 2_000,
            "idempotent_methods": ["GET", "HEAD"],
            "priority": 5,
            "replicas": 1 + round,
            "size": { "cpu_milli": 4_000, "memory_mb": 12_000 },
            "objective": { "latency_ms": 250, "good_percent": 99.0 },
        });
        (format!("{team}/services/service-{number}"), body)
    } else {
        let body = json!({
            "tasks": 60 + round,
            "size": { "cpu_milli": 6_000, "memory_mb": 16_000 },
            "run_time_ms": 2_000,
            "deadline_ms": 600_000,
            "checkpointable": true,
        });
        (format!("{team}/jobs/job-{number}"), body)
    };
    json!({
        "writer": format!("writer-{round}-{number}"),
        "sequence": 1,
        "team": team,
        "path": path,
        "base_offset": base_offset,
        "body": body,
    })
    .to_string()
}

/// Returns the records that add all paths and then change each path 3 to 199 times.
fn records(paths: u64) -> Vec<String> {
    let rounds = (20_000 / paths).clamp(4, 200);
    let add = (0..paths).map(|number| publication(number, 0, number.checked_sub(1)));
    let change = (1..rounds).flat_map(|round| {
        (0..paths).map(move |number| {
            let base_offset = (round - 1) * paths + number;
            publication(number, round, Some(base_offset))
        })
    });
    add.chain(change).collect()
}

fn fold(records: &[String]) -> ConfigState {
    let mut state = ConfigState::default();
    for record in records {
        let offset = state.next_offset();
        state.apply(offset, record).expect("a valid publication");
    }
    state
}

/// Returns the shortest time of several rounds, the one with the least interference.
fn shortest<T>(mut work: impl FnMut() -> T) -> Duration {
    let rounds = (0..ROUNDS).map(|_| {
        let started_at = Instant::now();
        black_box(work());
        started_at.elapsed()
    });
    rounds.min().unwrap_or_default()
}

fn as_microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Finds the service of a path by a linear scan, as the baseline of the route index.
fn scan<'a>(state: &'a ConfigState, path: &str) -> Option<&'a str> {
    let matching = state
        .services()
        .filter(|(_, service)| path.starts_with(&*service.path_prefix));
    let longest = matching.max_by_key(|(_, service)| service.path_prefix.len());
    longest.map(|(name, _)| name.as_str())
}

fn measure(paths: u64) {
    let records = records(paths);
    let state = fold(&records);
    let whole = shortest(|| fold(&records));
    let rate_per_s = records.len() as f64 / whole.as_secs_f64();
    let next = publication(0, 999, state.next_offset().0.checked_sub(paths));
    let one = shortest(|| {
        let mut copy = state.clone();
        let _ = copy.apply(copy.next_offset(), &next);
        copy
    });
    let texts = || -> Vec<String> {
        let parts = split_snapshot(&state, "bench", 0);
        let texts = parts.iter().map(serde_json::to_string);
        texts.collect::<Result<_, _>>().expect("plain data")
    };
    let write = shortest(texts);
    let texts = texts();
    let size_bytes: usize = texts.iter().map(String::len).sum();
    let read = shortest(|| {
        let mut assembly = SnapshotAssembler::default();
        texts
            .iter()
            .filter_map(|text| assembly.add(text).ok().flatten())
            .last()
    });
    let request = format!("/team-0/service-{}/a/b", (paths - 1) / TEAMS * TEAMS);
    let routed = shortest(|| {
        (0..ROUTE_LOOKUPS / 100)
            .filter(|_| state.route(black_box(&request)).is_some())
            .count()
    });
    let scanned = shortest(|| {
        (0..ROUTE_LOOKUPS / 100)
            .filter(|_| scan(&state, black_box(&request)).is_some())
            .count()
    });
    let per_route = |time: Duration| time.as_secs_f64() * 1e9 / f64::from(ROUTE_LOOKUPS / 100);
    println!(
        "{paths:>6} {:>8} {rate_per_s:>10.0} {:>10.0} {:>7} {size_bytes:>10} {:>10.1} {:>10.1} {:>8.0} {:>9.0}",
        records.len(),
        as_microseconds(one),
        texts.len(),
        as_microseconds(write) / 1e3,
        as_microseconds(read) / 1e3,
        per_route(routed),
        per_route(scanned),
    );
}

fn main() {
    println!(
        "{:>6} {:>8} {:>10} {:>10} {:>7} {:>10} {:>10} {:>10} {:>8} {:>9}",
        "paths",
        "records",
        "fold/s",
        "one us",
        "parts",
        "bytes",
        "write ms",
        "read ms",
        "route ns",
        "scan ns"
    );
    PATH_COUNTS.into_iter().for_each(measure);
}
