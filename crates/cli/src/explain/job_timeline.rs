use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use super::LogLine;

/// The shortest silence about the job that is reported as a gap, in milliseconds. It exceeds the
/// interval between two reports of an executor.
const SILENCE_MIN_MS: u64 = 1_500;
/// The shortest time without a cell owner that is reported as a gap, in milliseconds.
const OWNERLESS_MIN_MS: u64 = 100;

/// The log lines about one job in causal order, and the gaps between them.
#[derive(Debug, Serialize)]
pub(crate) struct JobTimeline {
    /// The id of the job.
    pub(crate) job: Box<str>,
    /// The lines about the job, its cell, its executors and the store, each after its cause.
    pub(crate) lines: Vec<LogLine>,
    /// Descriptions of what the lines leave open, such as a run without an outcome.
    pub(crate) gaps: Vec<Box<str>>,
}

impl JobTimeline {
    /// Selects and sorts the lines about a job. Returns `None` if no line is about the job.
    pub(crate) fn from_lines(job: &str, all_lines: &[LogLine]) -> Option<Self> {
        let about: Vec<&LogLine> = all_lines.iter().filter(|line| line.is_about(job)).collect();
        let first_ms = about.iter().map(|line| line.timestamp_ms).min()?;
        let last_ms = about.iter().map(|line| line.timestamp_ms).max()?;
        let executors: BTreeSet<&str> = about.iter().filter_map(|line| line.executor()).collect();
        let hosts: BTreeSet<&str> = about.iter().map(|line| &*line.host).collect();
        let is_context = |line: &&LogLine| {
            (first_ms..=last_ms).contains(&line.timestamp_ms)
                && match &*line.event {
                    "cell-claimed" | "cell-released" => true,
                    "store-lost" | "store-regained" | "store-speed" => hosts.contains(&*line.host),
                    "log-lines-dropped" => true,
                    event => {
                        let executor = line.executor();
                        event != "executor-listed"
                            && event.starts_with("executor-")
                            && executor.is_some_and(|executor| executors.contains(executor))
                    }
                }
        };
        let context = all_lines.iter().filter(is_context);
        let mut lines: Vec<LogLine> = about.into_iter().chain(context).cloned().collect();
        sort_causally(&mut lines);
        let gaps = [
            unread_submission(&lines),
            runs_without_outcome(&lines),
            ownerless_periods(&lines),
            silent_periods(job, &lines),
            dropped_lines(&lines),
            missing_end(&lines),
        ];
        Some(Self {
            job: job.into(),
            gaps: gaps.concat(),
            lines,
        })
    }
}

/// Returns the rank of an event in the causal order of a job and its runs.
fn rank(event: &str) -> u32 {
    match event {
        "call-answered" => 0,
        "job-accepted" => 1,
        "run-placed" => 2,
        "run-started" => 3,
        "run-not-started" | "run-ended" | "run-ended-late" | "run-lost" => 5,
        "job-ended" => 6,
        _ => 4,
    }
}

/// Sorts lines by time, but puts no line of a run before its cause: the clocks of hosts differ.
fn sort_causally(lines: &mut Vec<LogLine>) {
    let mut by_rank: Vec<usize> = (0..lines.len()).collect();
    by_rank.sort_by_key(|index| (rank(&lines[*index].event), lines[*index].timestamp_ms));
    let mut cause_times_ms: BTreeMap<Option<(&str, &str)>, u64> = BTreeMap::new();
    let mut sort_keys: Vec<(u64, u32, usize)> = Vec::new();
    for index in by_rank {
        let line = &lines[index];
        let cause_ms = cause_times_ms.get(&line.run()).copied().unwrap_or_default();
        let time_ms = line.timestamp_ms.max(cause_ms);
        let is_cause = matches!(rank(&line.event), 1..=3) && line.run().is_some();
        if is_cause {
            cause_times_ms.insert(line.run(), time_ms);
        }
        sort_keys.push((time_ms, rank(&line.event), index));
    }
    sort_keys.sort_unstable();
    *lines = sort_keys
        .into_iter()
        .map(|(_, _, index)| lines[index].clone())
        .collect();
}

fn has_event(lines: &[LogLine], event: &str) -> bool {
    lines.iter().any(|line| &*line.event == event)
}

/// Returns a gap if a submission was stored but no owner has read it.
fn unread_submission(lines: &[LogLine]) -> Vec<Box<str>> {
    let is_stored = |line: &&LogLine| {
        &*line.event == "call-answered"
            && line.field("kind") == Some("submit")
            && line.field("status") == Some("200")
    };
    match lines.iter().find(is_stored) {
        Some(line) if !has_event(lines, "job-accepted") => vec![
            format!(
                "{} stored the submission, but no line tells that an owner has read it",
                line.host
            )
            .into(),
        ],
        _ => Vec::new(),
    }
}

/// Returns a gap for each run that was placed and has no later line.
fn runs_without_outcome(lines: &[LogLine]) -> Vec<Box<str>> {
    let mut open: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
    for line in lines {
        let Some(run) = line.run() else { continue };
        match &*line.event {
            "run-placed" => {
                open.insert(run, line);
            }
            "run-started" | "run-not-started" | "run-ended" | "run-lost" => {
                open.remove(&run);
            }
            _ => {}
        }
    }
    let without_outcome = open.into_iter().map(|((task, run), line)| {
        let executor = line.field("executor").unwrap_or("an executor");
        format!("run {run} of {task} was placed on {executor}; no line tells what became of it")
    });
    without_outcome.map(String::into_boxed_str).collect()
}

/// Returns a gap for each long time in which the cell had no owner.
fn ownerless_periods(lines: &[LogLine]) -> Vec<Box<str>> {
    let mut released: Option<&LogLine> = None;
    let mut gaps = Vec::new();
    for line in lines {
        match (&*line.event, released) {
            ("cell-released", _) => released = Some(line),
            ("cell-claimed", Some(since)) => {
                let ownerless_ms = line.timestamp_ms.saturating_sub(since.timestamp_ms);
                if ownerless_ms >= OWNERLESS_MIN_MS {
                    let (from, to) = (&since.host, &line.host);
                    let text = format!("no owner for {ownerless_ms} ms, from {from} to {to}");
                    gaps.push(text.into());
                }
                released = None;
            }
            _ => {}
        }
    }
    gaps
}

/// Returns a gap for each long time without a line about the job, with its likely cause.
fn silent_periods(job: &str, lines: &[LogLine]) -> Vec<Box<str>> {
    let about: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(job)).collect();
    let pairs = about.windows(2).filter_map(|pair| {
        let (before, after) = (pair[0], pair[1]);
        let silent_ms = after.timestamp_ms.saturating_sub(before.timestamp_ms);
        let cause = match (&*before.event, &*after.event) {
            (_, "run-placed") => "waited for a place",
            ("run-placed", _) => "waited for the start's record and its answer",
            (_, "call-answered") => return None,
            _ => "worked, or waited for a report",
        };
        (silent_ms >= SILENCE_MIN_MS).then(|| {
            format!(
                "{silent_ms} ms between {} and {}: {cause}",
                before.event, after.event
            )
        })
    });
    pairs.map(String::into_boxed_str).collect()
}

/// Returns a gap for each report of a process that log lines were dropped.
fn dropped_lines(lines: &[LogLine]) -> Vec<Box<str>> {
    let counts = lines
        .iter()
        .filter(|line| &*line.event == "log-lines-dropped");
    let texts = counts.map(|line| {
        let count = line.field("count").unwrap_or("some");
        format!("{} dropped {count} lines", line.host)
    });
    texts.map(String::into_boxed_str).collect()
}

/// Returns a gap if the job was accepted and no line reports its end.
fn missing_end(lines: &[LogLine]) -> Vec<Box<str>> {
    match has_event(lines, "job-accepted") && !has_event(lines, "job-ended") {
        true => vec!["no line tells the end of the job".into()],
        false => Vec::new(),
    }
}
