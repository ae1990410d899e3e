use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use super::LogLine;

/// What the hosts that run jobs did in each second, for a look at an incident before its jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Overview {
    /// The seconds that have at least one event, in order.
    pub(crate) seconds: Vec<OverviewSecond>,
}

/// The events of one second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct OverviewSecond {
    /// Seconds since the first log line.
    pub(crate) second: u64,
    /// Submissions and cancellations that were stored.
    pub(crate) stored: u64,
    /// Submissions and cancellations that were refused, and certainly have no effect.
    pub(crate) refused: u64,
    /// Submissions and cancellations whose effect is unknown to the client.
    pub(crate) unknown: u64,
    /// Runs that started.
    pub(crate) started: u64,
    /// Runs that were told to stop.
    pub(crate) stopped: u64,
    /// Changes of a run's pace.
    pub(crate) paced: u64,
    /// Runs that were given up.
    pub(crate) lost: u64,
    /// Changes of hosts, cells, executors and of the store, each with its count.
    pub(crate) changes: Vec<Box<str>>,
}

/// The events that are listed as changes, with their descriptions.
const CHANGES: [(&str, &str); 11] = [
    ("started", "hosts started"),
    ("stopping", "hosts stopping"),
    ("store-lost", "hosts lost the store"),
    ("store-regained", "hosts regained the store"),
    ("cell-claimed", "cells claimed"),
    ("cell-released", "cells released"),
    ("executor-lapsed", "executors silent for a lease"),
    ("executor-unlisted", "executors unlisted"),
    ("executor-restarted", "executors restarted"),
    ("executor-rests", "executors rest"),
    ("log-lines-dropped", "log gaps"),
];

impl Overview {
    /// Counts the events of each second.
    pub(crate) fn from_lines(lines: &[LogLine]) -> Self {
        let first_ms = lines
            .iter()
            .map(|line| line.timestamp_ms)
            .min()
            .unwrap_or(0);
        let mut by_second: BTreeMap<u64, Vec<&LogLine>> = BTreeMap::new();
        for line in lines {
            let second = (line.timestamp_ms - first_ms) / 1_000;
            by_second.entry(second).or_default().push(line);
        }
        let seconds = by_second
            .into_iter()
            .map(|(second, lines)| OverviewSecond::new(second, &lines))
            .filter(|counted| !counted.is_empty());
        Self {
            seconds: seconds.collect(),
        }
    }
}

impl OverviewSecond {
    fn new(second: u64, lines: &[&LogLine]) -> Self {
        let mut counted = Self {
            second,
            ..Self::default()
        };
        let mut changes: BTreeMap<&str, (u64, BTreeSet<&str>)> = BTreeMap::new();
        for line in lines {
            match &*line.event {
                "call-answered" => counted.count_call(line),
                "run-started" => counted.started += 1,
                "run-stopping" => counted.stopped += 1,
                "run-paced" => counted.paced += 1,
                "run-lost" => counted.lost += 1,
                event => {
                    let (count, hosts) = changes.entry(event).or_default();
                    *count += 1;
                    hosts.insert(&line.host);
                }
            }
        }
        let listed = CHANGES.iter().filter_map(|(event, description)| {
            let (count, hosts) = changes.get(event)?;
            let by = match event.starts_with("cell-") {
                true => format!(
                    " by {}",
                    hosts.iter().copied().collect::<Vec<_>>().join(", ")
                ),
                false => String::new(),
            };
            Some(format!("{count} {description}{by}").into())
        });
        counted.changes = listed.collect();
        counted
    }

    fn count_call(&mut self, line: &LogLine) {
        if !matches!(line.field("kind"), Some("submit" | "cancel")) {
            return;
        }
        match line.field("status") {
            Some("200") => self.stored += 1,
            Some("429" | "503") => self.refused += 1,
            Some("502" | "504") => self.unknown += 1,
            _ => {}
        }
    }

    fn is_empty(&self) -> bool {
        let quiet = Self {
            second: self.second,
            ..Self::default()
        };
        *self == quiet
    }
}
