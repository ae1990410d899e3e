//! `explain` merges the logs of several processes into the timeline of one job.
//! Guards against lines that precede their cause when the clocks of hosts differ, and against gaps
//! that go unreported.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const JOB: &str = "5c0e7a21d94b36f8";
/// Log lines of a real run in which a cell owner was cut off from the store.
const TAKEOVER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/takeover.log");
/// A job that the log lines in `TAKEOVER` are about.
const TAKEOVER_JOB: &str = "9ff878cd828e4252";

fn explain(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelhook"))
        .arg("explain")
        .args(arguments)
        .output()
        .expect("the command starts")
}

fn explain_input(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dotterelhook"))
        .args(["explain", JOB])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("the command reads its input");
    drop(stdin);
    child.wait_with_output().expect("the command exits")
}

fn line(timestamp_ms: u64, host: &str, event: &str, fields: &str) -> String {
    format!(
        r#"{{"level":"info","timestamp":{timestamp_ms},"payload":"{event}","kv":{{{fields}}},"logger":"{host}","tid":7}}"#
    ) + "\n"
}

fn run_line(timestamp_ms: u64, host: &str, event: &str, run: u32) -> String {
    let fields = format!(r#""task":"{JOB}.0.0.0","run":"{run}","executor":"i-1""#);
    line(timestamp_ms, host, event, &fields)
}

fn accepted_line(timestamp_ms: u64, host: &str) -> String {
    line(
        timestamp_ms,
        host,
        "job-accepted",
        &format!(r#""job":"{JOB}""#),
    )
}

fn file(name: &str, lines: &[String]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, lines.concat()).expect("the folder is writable");
    path
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is UTF-8")
}

/// Returns the events of a printed timeline in their order.
fn events(output: &Output) -> Vec<String> {
    let text = text(&output.stdout);
    let event_lines = text.lines().skip(1).take_while(|line| *line != "gaps:");
    event_lines
        .filter_map(|line| line.split_whitespace().nth(2).map(str::to_owned))
        .collect()
}

#[test]
fn a_takeover_is_told_with_both_owners_and_the_runs_that_were_lost() {
    let output = explain(&[TAKEOVER_JOB, TAKEOVER]);

    let events = events(&output);
    let count = |event: &str| events.iter().filter(|printed| *printed == event).count();
    assert!(output.status.success());
    assert_eq!(events.first().map(String::as_str), Some("job-accepted"));
    assert_eq!(events.last().map(String::as_str), Some("job-ended"));
    assert_eq!(
        (
            count("cell-claimed"),
            count("run-placed"),
            count("run-lost")
        ),
        (1, 6, 3)
    );
    assert!(text(&output.stdout).contains("ms between run-placed and run-lost"));
}

#[test]
fn lines_of_hosts_whose_clocks_differ_stand_after_what_caused_them() {
    let first = file(
        "explain-a.log",
        &[
            accepted_line(5_000, "a"),
            run_line(5_010, "a", "run-placed", 1),
            run_line(5_020, "a", "run-started", 1),
        ],
    );
    let second = file(
        "explain-b.log",
        &[
            run_line(4_900, "b", "run-lost", 1),
            line(
                5_030,
                "b",
                "job-ended",
                &format!(r#""job":"{JOB}","state":"failed""#),
            ),
        ],
    );

    let output = explain(&[
        JOB,
        &second.display().to_string(),
        &first.display().to_string(),
    ]);

    let order = [
        "job-accepted",
        "run-placed",
        "run-started",
        "run-lost",
        "job-ended",
    ];
    assert_eq!(events(&output), order);
}

#[test]
fn gaps_are_named() {
    let released_fields = r#""cell":"0","epoch":"1","cause":"killed""#;
    let claimed_fields = r#""cell":"0","epoch":"2""#;
    let input = [
        accepted_line(1_000, "a"),
        run_line(3_000, "a", "run-placed", 1),
        line(3_010, "a", "cell-released", released_fields),
        line(3_020, "a", "log-lines-dropped", r#""count":12"#),
        line(3_900, "b", "cell-claimed", claimed_fields),
        run_line(4_000, "b", "run-placed", 2),
        run_line(4_010, "b", "run-started", 2),
    ];

    let output = explain_input(&input.concat());

    let text = text(&output.stdout);
    for gap in [
        "2000 ms between job-accepted and run-placed: waited for a place",
        "no line tells what became of it",
        "no owner for 890 ms, from a to b",
        "a dropped 12 lines",
        "no line tells the end of the job",
    ] {
        assert!(text.contains(gap), "{gap}: {text}");
    }
}

#[test]
fn a_stored_submission_that_no_owner_has_read_is_named() {
    let fields = format!(r#""kind":"submit","path":"/q/{JOB}","status":"200""#);
    let input = line(1_000, "a", "call-answered", &fields);

    let output = explain_input(&input);

    let text = text(&output.stdout);
    assert!(
        text.contains("no line tells that an owner has read it"),
        "{text}"
    );
}

#[test]
fn lines_that_are_no_log_lines_are_counted_and_prefixes_skipped() {
    let input = [
        "not a line\n".to_owned(),
        format!("10.25 a {}", accepted_line(1_000, "a")),
        "{\"payload\":\n\n".to_owned(),
    ];

    let output = explain_input(&input.concat());

    assert!(output.status.success());
    assert_eq!(events(&output), ["job-accepted"]);
    assert!(text(&output.stderr).contains("2 lines are not log lines"));
}

#[test]
fn a_job_that_no_line_is_about_and_a_missing_file_are_errors() {
    let unknown = explain(&["0000000000000000", TAKEOVER]);
    let missing = explain(&[JOB, "no-such-file.log"]);
    let unnamed = explain(&[]);

    assert_eq!(unknown.status.code(), Some(1));
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stderr).contains("no-such-file.log"));
    assert_eq!(unnamed.status.code(), Some(2));
}

#[test]
fn a_story_is_printed_as_json() {
    let output = explain(&[TAKEOVER_JOB, TAKEOVER, "--json"]);

    let timeline: serde_json::Value = serde_json::from_slice(&output.stdout).expect("json");
    assert_eq!(timeline["job"], TAKEOVER_JOB);
    assert_eq!(timeline["lines"][0]["event"], "job-accepted");
    assert_eq!(timeline["gaps"].as_array().map(Vec::len), Some(1));
}

/// Guards against an incident that shows only in the lines of many jobs.
#[test]
fn an_overview_counts_the_events_of_each_second() {
    let call = |timestamp_ms, kind: &str, status: u32| {
        let fields = format!(r#""kind":"{kind}","status":"{status}""#);
        line(timestamp_ms, "laguna-1", "call-answered", &fields)
    };
    let lost = |host: &str| line(3_100, host, "store-lost", r#""cause":"silent""#);
    let lines = [
        call(1_000, "submit", 200),
        call(1_900, "cancel", 200),
        call(1_950, "read", 503),
        run_line(1_999, "laguna-1", "run-started", 1),
        lost("laguna-1"),
        lost("laguna-2"),
        call(3_200, "submit", 503),
        call(3_300, "submit", 504),
        line(5_000, "laguna-2", "cell-claimed", r#""cell":"0""#),
    ];
    let path = file("overview.log", &lines);

    let output = explain(&["--overview", path.to_str().expect("UTF-8")]);

    let printed = text(&output.stdout);
    let rows: Vec<Vec<&str>> = printed
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect())
        .collect();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(rows[0], ["0", "2", "0", "0", "1", "0", "0", "0"]);
    assert_eq!(rows[1][..4], ["2", "0", "1", "1"]);
    assert_eq!(rows[1][8..].join(" "), "2 hosts lost the store");
    assert_eq!(rows[2][8..].join(" "), "1 cells claimed by laguna-2");
    assert_eq!(rows.len(), 3);
}
