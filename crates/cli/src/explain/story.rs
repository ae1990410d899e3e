use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use super::LogLine;

/// The time without a line about the job from which it counts as a gap, in milliseconds; above the
/// time between two reports of an executor.
const GAP_MS: u64 = 1_500;
/// The time without an owner from which it counts as a gap, in milliseconds.
const VACANCY_MS: u64 = 100;

/// What happened to one job.
#[derive(Debug, Serialize)]
pub(crate) struct Story {
    /// The job's id.
    pub(crate) job: Box<str>,
    /// The lines about it and about what it depended on, each after what caused it.
    pub(crate) lines: Vec<LogLine>,
    /// What the lines don't tell.
    pub(crate) gaps: Vec<Box<str>>,
}

impl Story {
    /// Gathers what lines of any processes tell of a job; `None` if nothing does.
    pub(crate) fn gather(job: &str, all: &[LogLine]) -> Option<Self> {
        let about: Vec<&LogLine> = all.iter().filter(|line| line.is_about(job)).collect();
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
        let context = all.iter().filter(is_context);
        let mut lines: Vec<LogLine> = about.into_iter().chain(context).cloned().collect();
        sort_by_cause(&mut lines);
        let gaps = [
            unread(&lines),
            untold_runs(&lines),
            vacancies(&lines),
            waits(job, &lines),
            dropped(&lines),
            unfinished(&lines),
        ];
        Some(Self {
            job: job.into(),
            gaps: gaps.concat(),
            lines,
        })
    }
}

/// Returns the place of an event in the life of what it is about.
fn stage(event: &str) -> u32 {
    match event {
        "call-answered" => 0,
        "job-accepted" => 1,
        "run-placed" => 2,
        "run-started" => 3,
        "run-not-started" | "run-ended" | "run-lost" => 5,
        "job-ended" => 6,
        _ => 4,
    }
}

/// Sorts lines by time, but none before what caused it: the clocks of hosts differ.
fn sort_by_cause(lines: &mut Vec<LogLine>) {
    let mut by_stage: Vec<usize> = (0..lines.len()).collect();
    by_stage.sort_by_key(|index| (stage(&lines[*index].event), lines[*index].timestamp_ms));
    let mut reached: BTreeMap<Option<(&str, &str)>, u64> = BTreeMap::new();
    let mut places: Vec<(u64, u32, usize)> = Vec::new();
    for index in by_stage {
        let line = &lines[index];
        let own = reached.get(&line.run()).copied().unwrap_or_default();
        let time_ms = line.timestamp_ms.max(own);
        let is_step = matches!(stage(&line.event), 1..=3) && line.run().is_some();
        if is_step {
            reached.insert(line.run(), time_ms);
        }
        places.push((time_ms, stage(&line.event), index));
    }
    places.sort_unstable();
    *lines = places
        .into_iter()
        .map(|(_, _, index)| lines[index].clone())
        .collect();
}

fn has(lines: &[LogLine], event: &str) -> bool {
    lines.iter().any(|line| &*line.event == event)
}

/// A submission that was accepted and that no owner has read.
fn unread(lines: &[LogLine]) -> Vec<Box<str>> {
    let is_stored = |line: &&LogLine| {
        &*line.event == "call-answered"
            && line.field("kind") == Some("submit")
            && line.field("status") == Some("200")
    };
    match lines.iter().find(is_stored) {
        Some(line) if !has(lines, "job-accepted") => vec![
            format!(
                "{} stored the submission, but no line tells that an owner has read it",
                line.host
            )
            .into(),
        ],
        _ => Vec::new(),
    }
}

/// Runs whose fate no line tells.
fn untold_runs(lines: &[LogLine]) -> Vec<Box<str>> {
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
    let untold = open.into_iter().map(|((task, run), line)| {
        let executor = line.field("executor").unwrap_or("an executor");
        format!("run {run} of {task} was placed on {executor}; no line tells what became of it")
    });
    untold.map(String::into_boxed_str).collect()
}

/// Times in which the cell had no owner.
fn vacancies(lines: &[LogLine]) -> Vec<Box<str>> {
    let mut released: Option<&LogLine> = None;
    let mut gaps = Vec::new();
    for line in lines {
        match (&*line.event, released) {
            ("cell-released", _) => released = Some(line),
            ("cell-claimed", Some(since)) => {
                let vacant_ms = line.timestamp_ms.saturating_sub(since.timestamp_ms);
                if vacant_ms >= VACANCY_MS {
                    let (from, to) = (&since.host, &line.host);
                    let text = format!("no owner for {vacant_ms} ms, from {from} to {to}");
                    gaps.push(text.into());
                }
                released = None;
            }
            _ => {}
        }
    }
    gaps
}

/// Long times without a line about the job.
fn waits(job: &str, lines: &[LogLine]) -> Vec<Box<str>> {
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
        (silent_ms >= GAP_MS).then(|| {
            format!(
                "{silent_ms} ms between {} and {}: {cause}",
                before.event, after.event
            )
        })
    });
    pairs.map(String::into_boxed_str).collect()
}

/// Lines that a process could not write.
fn dropped(lines: &[LogLine]) -> Vec<Box<str>> {
    let counts = lines
        .iter()
        .filter(|line| &*line.event == "log-lines-dropped");
    let texts = counts.map(|line| {
        let count = line.field("count").unwrap_or("some");
        format!("{} dropped {count} lines", line.host)
    });
    texts.map(String::into_boxed_str).collect()
}

fn unfinished(lines: &[LogLine]) -> Vec<Box<str>> {
    match has(lines, "job-accepted") && !has(lines, "job-ended") {
        true => vec!["no line tells the end of the job".into()],
        false => Vec::new(),
    }
}
