use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::sizes::Resources;

use super::Cluster;
use super::request_load::Told;
use crate::target::Counters;
use crate::worker::AttemptInterval;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SHOWN_EXAMPLES: usize = 3;

/// One promise and the cases that broke it.
#[derive(Clone, Debug)]
pub struct Finding {
    /// What must hold.
    pub promise: &'static str,
    /// How many cases were looked at.
    pub cases: usize,
    /// The cases that broke it.
    pub broken: Vec<String>,
}

impl Finding {
    fn new(promise: &'static str, cases: usize, broken: Vec<String>) -> Self {
        Self {
            promise,
            cases,
            broken,
        }
    }

    /// Returns whether the promise held in at least one case.
    pub fn holds(&self) -> bool {
        self.broken.is_empty() && self.cases > 0
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds() { "held" } else { "BROKEN" };
        write!(f, "{verdict:<6} {} ({} cases)", self.promise, self.cases)?;
        for example in self.broken.iter().take(SHOWN_EXAMPLES) {
            write!(f, "\n         {example}")?;
        }
        match self.broken.len().saturating_sub(SHOWN_EXAMPLES) {
            0 => Ok(()),
            more => write!(f, "\n         and {more} more"),
        }
    }
}

/// Compares what callers were told with what the targets counted.
pub fn check_requests(cluster: &Cluster, told: &BTreeMap<Box<str>, Told>) -> Vec<Finding> {
    let mut runs: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for counters in cluster.target_counters() {
        for (id, times) in counters.by_id {
            *runs.entry(id).or_default() += times;
        }
    }
    let with = |wanted: Told| told.iter().filter(move |(_, told)| **told == wanted);
    let ran = |id: &str| runs.get(id).copied().unwrap_or_default();
    let twice = runs.iter().filter(|(_, times)| **times > 1);
    let wrong = with(Told::WrongAnswer).map(|(id, _)| format!("{id} got another answer"));
    let unrun = with(Told::Answered).filter(|(id, _)| ran(id) != 1);
    let refused = with(Told::NotRun).filter(|(id, _)| ran(id) != 0);
    vec![
        Finding::new(
            "a non-idempotent request runs at most once",
            runs.len(),
            twice
                .map(|(id, times)| format!("{id} ran {times} times"))
                .collect(),
        ),
        Finding::new(
            "each answer belongs to its request",
            told.len(),
            wrong.collect(),
        ),
        Finding::new(
            "an answered request ran once",
            with(Told::Answered).count(),
            unrun
                .map(|(id, _)| format!("{id} ran {} times", ran(id)))
                .collect(),
        ),
        Finding::new(
            "a request refused as not run did not run",
            told.len(),
            refused
                .map(|(id, _)| format!("{id} ran {} times", ran(id)))
                .collect(),
        ),
    ]
}

/// Compares the ledger with what the workers ran.
pub async fn check_batch(
    cluster: &Cluster,
    runs: &[Box<str>],
    ledger: &[RunSummary],
) -> Vec<Finding> {
    let mut intervals: BTreeMap<TaskId, Vec<AttemptInterval>> = BTreeMap::new();
    let mut overfull = Vec::new();
    for worker in &cluster.workers {
        for interval in fetch::<Vec<AttemptInterval>>(worker.address, "/intervals").await {
            intervals
                .entry(interval.attempt.task.clone())
                .or_default()
                .push(interval);
        }
        let most: Resources = fetch(worker.address, "/most-used").await;
        if !most.fits_in(&cluster.settings.worker_capacity) {
            overfull.push(format!("{} was given {most}", worker.worker));
        }
    }
    let doubled = intervals.iter().filter(|(_, intervals)| overlap(intervals));
    let doubled = doubled
        .map(|(task, _)| format!("{task} ran in two places"))
        .collect();
    let known: BTreeSet<&str> = ledger.iter().map(|line| line.run.as_str()).collect();
    let missing = runs.iter().filter(|run| !known.contains(&***run));
    let incomplete = ledger.iter().filter(|line| line.done != line.tasks);
    let open = incomplete.map(|l| format!("{}: {} of {} tasks done", l.run, l.done, l.tasks));
    let lost = missing
        .map(|run| format!("{run} is not in the ledger"))
        .chain(open);
    vec![
        Finding::new(
            "no task runs in two places at once",
            intervals.len(),
            doubled,
        ),
        Finding::new(
            "no worker is given more than it has",
            cluster.workers.len(),
            overfull,
        ),
        Finding::new(
            "each accepted run is complete in the ledger",
            runs.len(),
            lost.collect(),
        ),
    ]
}

/// Checks that of two operators with the same base at most one won, and that versions only grow.
pub fn check_operators(state: &ConfigState, seen: &[Offset]) -> Vec<Finding> {
    let backwards = seen.windows(2).filter(|pair| pair[1] < pair[0]);
    let backwards = backwards.map(|pair| format!("{} came after {}", pair[1], pair[0]));
    let accepted = state
        .outcomes()
        .iter()
        .filter(|outcome| outcome.refusal.is_none());
    vec![
        Finding::new(
            "the configuration in force never reverts",
            seen.len(),
            backwards.collect(),
        ),
        Finding::new("racing operators get on", accepted.count(), Vec::new()),
    ]
}

impl Cluster {
    /// Returns what each target counted.
    fn target_counters(&self) -> Vec<Counters> {
        self.target_servers
            .iter()
            .map(|server| server.counters())
            .collect()
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let client = JsonClient::new(address, CALL_TIMEOUT);
    let answer = client.get(path).await.expect("stand-ins answer");
    answer.decode().expect("stand-ins answer as expected")
}

fn overlap(intervals: &[AttemptInterval]) -> bool {
    let mut sorted: Vec<&AttemptInterval> = intervals.iter().collect();
    sorted.sort_by_key(|interval| interval.from_ms);
    sorted
        .windows(2)
        .any(|pair| pair[0].to_ms.is_none_or(|to_ms| to_ms > pair[1].from_ms))
}
