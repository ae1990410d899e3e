use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::WriterId;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::sizes::Resources;

use super::Cluster;
use super::request_load::RequestOutcome;
use crate::target::Counters;
use crate::worker::AttemptInterval;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SHOWN_EXAMPLES: usize = 3;

/// One invariant with the cases that violate it.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The statement that must hold in every case.
    pub invariant: &'static str,
    /// The number of cases checked.
    pub cases: usize,
    /// A description of each case that violates the invariant.
    pub violations: Vec<String>,
}

impl Finding {
    fn new(invariant: &'static str, cases: usize, violations: Vec<String>) -> Self {
        Self {
            invariant,
            cases,
            violations,
        }
    }

    /// Returns whether at least one case was checked and none violates the invariant.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.cases > 0
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds() { "held" } else { "BROKEN" };
        write!(f, "{verdict:<6} {} ({} cases)", self.invariant, self.cases)?;
        for example in self.violations.iter().take(SHOWN_EXAMPLES) {
            write!(f, "\n         {example}")?;
        }
        match self.violations.len().saturating_sub(SHOWN_EXAMPLES) {
            0 => Ok(()),
            more => write!(f, "\n         and {more} more"),
        }
    }
}

/// Compares the outcomes that callers saw with the request counts of the targets.
pub fn check_requests(
    cluster: &Cluster,
    outcomes: &BTreeMap<Box<str>, RequestOutcome>,
) -> Vec<Finding> {
    let mut runs_by_id: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for counters in cluster.target_counters() {
        for (id, times) in counters.by_id {
            *runs_by_id.entry(id).or_default() += times;
        }
    }
    let with = |wanted: RequestOutcome| outcomes.iter().filter(move |(_, seen)| **seen == wanted);
    let run_count = |id: &str| runs_by_id.get(id).copied().unwrap_or_default();
    let repeated = runs_by_id.iter().filter(|(_, times)| **times > 1);
    let wrong = with(RequestOutcome::WrongAnswer).map(|(id, _)| format!("{id} got another answer"));
    let not_run_once = with(RequestOutcome::Answered).filter(|(id, _)| run_count(id) != 1);
    let run_though_refused = with(RequestOutcome::NotRun).filter(|(id, _)| run_count(id) != 0);
    vec![
        Finding::new(
            "a non-idempotent request runs at most once",
            runs_by_id.len(),
            repeated
                .map(|(id, times)| format!("{id} ran {times} times"))
                .collect(),
        ),
        Finding::new(
            "each answer belongs to its request",
            outcomes.len(),
            wrong.collect(),
        ),
        Finding::new(
            "an answered request ran once",
            with(RequestOutcome::Answered).count(),
            not_run_once
                .map(|(id, _)| format!("{id} ran {} times", run_count(id)))
                .collect(),
        ),
        Finding::new(
            "a request refused as not run did not run",
            with(RequestOutcome::NotRun).count(),
            run_though_refused
                .map(|(id, _)| format!("{id} ran {} times", run_count(id)))
                .collect(),
        ),
    ]
}

/// Compares the schedulers' summaries of runs with the attempts that the workers ran.
pub async fn check_batch(
    cluster: &Cluster,
    runs: &[Box<str>],
    summaries: &[RunSummary],
) -> Vec<Finding> {
    let mut intervals: BTreeMap<TaskId, Vec<AttemptInterval>> = BTreeMap::new();
    let mut overcommitted = Vec::new();
    for worker in &cluster.workers {
        for interval in fetch::<Vec<AttemptInterval>>(worker.address, "/intervals").await {
            intervals
                .entry(interval.attempt.task.clone())
                .or_default()
                .push(interval);
        }
        let peak: Resources = fetch(worker.address, "/most-used").await;
        if !peak.fits_in(&cluster.settings.worker_capacity) {
            overcommitted.push(format!("{} was given {peak}", worker.worker));
        }
    }
    let duplicated = intervals
        .iter()
        .filter(|(_, intervals)| have_overlap(intervals));
    let duplicated = duplicated
        .map(|(task, _)| format!("{task} ran in two places"))
        .collect();
    let recorded: BTreeSet<&str> = summaries
        .iter()
        .map(|summary| summary.run.as_str())
        .collect();
    let missing = runs.iter().filter(|run| !recorded.contains(&***run));
    let incomplete = summaries
        .iter()
        .filter(|summary| summary.done != summary.tasks);
    let incomplete = incomplete.map(|l| format!("{}: {} of {} tasks done", l.run, l.done, l.tasks));
    let lost = missing
        .map(|run| format!("{run} is not in the ledger"))
        .chain(incomplete);
    vec![
        Finding::new(
            "no task runs in two places at once",
            intervals.len(),
            duplicated,
        ),
        Finding::new(
            "no worker is given more than it has",
            cluster.workers.len(),
            overcommitted,
        ),
        Finding::new(
            "each accepted run is complete in the ledger",
            runs.len(),
            lost.collect(),
        ),
    ]
}

/// Checks that observed configuration offsets never decrease, and that each operator has a
/// publication among the recent ones that was accepted.
pub fn check_operators(state: &ConfigState, observed: &[Offset]) -> Vec<Finding> {
    let reversals = observed.windows(2).filter(|pair| pair[1] < pair[0]);
    let reversals = reversals.map(|pair| format!("{} came after {}", pair[1], pair[0]));
    let mut accepted_by_writer: BTreeMap<&WriterId, u32> = BTreeMap::new();
    for outcome in state.outcomes() {
        if let Some((writer, _)) = &outcome.writer {
            let accepted = accepted_by_writer.entry(writer).or_default();
            *accepted += u32::from(outcome.refusal.is_none());
        }
    }
    let without = accepted_by_writer
        .iter()
        .filter(|(_, accepted)| **accepted == 0);
    let without = without
        .map(|(writer, _)| format!("no publication of {writer} was accepted"))
        .collect();
    vec![
        Finding::new(
            "the configuration in force never reverts",
            observed.len(),
            reversals.collect(),
        ),
        Finding::new("racing operators get on", accepted_by_writer.len(), without),
    ]
}

impl Cluster {
    fn target_counters(&self) -> Vec<Counters> {
        self.target_servers
            .iter()
            .map(|server| server.counters())
            .collect()
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let client = JsonClient::new(address, CALL_TIMEOUT);
    let answer = client.get(path).await.expect("the stand-in answers");
    answer.decode().expect("the stand-in's answer decodes")
}

fn have_overlap(intervals: &[AttemptInterval]) -> bool {
    let mut sorted: Vec<&AttemptInterval> = intervals.iter().collect();
    sorted.sort_by_key(|interval| interval.from_ms);
    sorted
        .windows(2)
        .any(|pair| pair[0].to_ms.is_none_or(|to_ms| to_ms > pair[1].from_ms))
}
