//! `publish`, `check --hosts` and `history` against a simulated platform.
//! Guards against a plan that is appended twice, against exit codes that claim more than is known
//! when the log fails, and against refusals that are found only after something was published.

mod simulated_platform;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::Handler;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_types::ids::Offset;
use simulated_platform::AppendBehavior;
use simulated_platform::exit_and_text;
use simulated_platform::run;
use simulated_platform::start;
use simulated_platform::start_hosts;
use simulated_platform::start_log;
use simulated_platform::write_tree;

const JOB: &str = r#"{ "tasks": 1, "size": { "cpu_milli": 4000, "memory_mb": 1000 },
    "run_time_ms": 1000, "deadline_ms": 60000 }"#;
const QUOTA: &str = r#"{ "batch": { "cpu_milli": 8000, "memory_mb": 8000 } }"#;
const SMALL_QUOTA: &str = r#"{ "batch": { "cpu_milli": 1000, "memory_mb": 8000 } }"#;
const RECORDS_MAX: usize = 10_000;

async fn publish(directory: &Path, log: SocketAddr, more: &[&str]) -> (Option<i32>, String) {
    let log = log.to_string();
    let mut arguments = vec!["publish", directory.to_str().unwrap(), "--log", &log];
    arguments.extend(more);
    exit_and_text(&run(&arguments).await)
}

async fn record_count(log: SocketAddr) -> u64 {
    let log = HttpLog::new(log, Duration::from_secs(5));
    let page = log.read(CONFIG_STREAM, Offset(0), 1, Duration::ZERO).await;
    page.unwrap().end_offset.0
}

async fn paths_in_force(log: SocketAddr) -> Vec<String> {
    let output = run(&["get", "--log", &log.to_string()]).await;
    let documents: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    documents.as_object().unwrap().keys().cloned().collect()
}

async fn history(log: SocketAddr) -> serde_json::Value {
    let output = run(&["history", "--json", "--log", &log.to_string()]).await;
    serde_json::from_slice(&output.stdout).unwrap()
}

#[tokio::test]
async fn an_append_ends_with_the_exit_code_that_says_what_is_known() {
    let rival = publication("rival", "desk", None);
    let long = "60000";
    let table = [
        (
            "works",
            AppendBehavior::Succeed,
            long,
            0,
            "accepted desk/jobs/a as version 0",
        ),
        (
            "answer lost",
            AppendBehavior::LoseAnswer,
            long,
            0,
            "accepted desk/jobs/a as version 0",
        ),
        (
            "frozen before",
            AppendBehavior::FreezeBefore,
            "700",
            3,
            "it may still take effect",
        ),
        (
            "frozen after",
            AppendBehavior::FreezeAfter,
            "700",
            3,
            "it may still take effect",
        ),
        (
            "another was first",
            AppendBehavior::AppendRivalFirst(rival),
            long,
            4,
            "version 0 is in force",
        ),
    ];
    for (name, append_behavior, timeout_ms, code, wanted) in &table {
        let log = start_log(append_behavior.clone()).await;
        let tree = write_tree(&name.replace(' ', "-"), &[("desk/jobs/a.jsonc", JOB)]);

        let (exit, text) = publish(&tree, log, &["--timeout-ms", timeout_ms]).await;

        assert_eq!(exit, Some(*code), "{name}: {text}");
        assert!(text.contains(wanted), "{name}: {text}");
    }
}

fn publication(writer: &str, team: &str, base_offset: Option<u64>) -> Box<str> {
    let body: serde_json::Value = serde_json::from_str(JOB).unwrap();
    serde_json::json!({
        "writer": writer, "sequence": 1, "team": team, "path": "desk/jobs/a",
        "base_offset": base_offset, "body": body,
    })
    .to_string()
    .into()
}

#[tokio::test]
async fn an_append_whose_answer_was_lost_stands_in_the_log_once() {
    let log = start_log(AppendBehavior::LoseAnswer).await;
    let tree = write_tree("lost-once", &[("desk/jobs/a.jsonc", JOB)]);

    let (exit, text) = publish(&tree, log, &[]).await;

    assert_eq!(exit, Some(0), "{text}");
    assert_eq!(record_count(log).await, 1);
}

#[tokio::test]
async fn a_log_that_can_not_be_read_ends_it_with_nothing_changed() {
    let tree = write_tree("down", &[("desk/jobs/a.jsonc", JOB)]);
    for fault in [Fault::Down, Fault::Frozen, Fault::FailFast] {
        let log = Arc::new(LogServer::new(RECORDS_MAX));
        log.faults().set(FaultBody { fault, delay_ms: 0 });
        let address = start(log).await;

        let (exit, text) = publish(&tree, address, &["--timeout-ms", "500"]).await;

        assert_eq!(exit, Some(1), "{fault}: {text}");
        assert!(text.contains("not-run"), "{fault}: {text}");
    }
}

#[tokio::test]
async fn a_path_is_removed_only_if_it_is_named() {
    let log = start_log(AppendBehavior::Succeed).await;
    let both = [("desk/jobs/a.jsonc", JOB), ("desk/jobs/b.jsonc", JOB)];
    publish(&write_tree("both", &both), log, &[]).await;
    let one = write_tree("one", &both[..1]);

    let (kept_exit, _) = publish(&one, log, &[]).await;
    let kept = paths_in_force(log).await;
    let (clash_exit, _) = publish(&one, log, &["--remove", "desk/jobs/a"]).await;
    let (removed_exit, _) = publish(&one, log, &["--remove", "desk/jobs/b"]).await;
    let removed = paths_in_force(log).await;
    let (nothing_exit, nothing_text) = publish(&one, log, &["--remove", "desk/jobs/b"]).await;
    let (again_exit, _) = publish(&write_tree("again", &both), log, &[]).await;

    assert_eq!((kept_exit, kept.len()), (Some(0), 2));
    assert_eq!(clash_exit, Some(2));
    assert_eq!(
        (removed_exit, removed),
        (Some(0), vec!["desk/jobs/a".to_owned()])
    );
    assert_eq!(nothing_exit, Some(4), "{nothing_text}");
    assert!(
        nothing_text.contains("only a path in force can be removed"),
        "{nothing_text}"
    );
    assert_eq!((again_exit, paths_in_force(log).await.len()), (Some(0), 2));
}

#[tokio::test]
async fn more_documents_than_outcomes_are_kept_are_published_at_once() {
    let log = start_log(AppendBehavior::Succeed).await;
    let names: Vec<String> = (0..1_200)
        .map(|n| format!("desk/jobs/a{n}.jsonc"))
        .collect();
    let files: Vec<_> = names.iter().map(|name| (name.as_str(), JOB)).collect();

    let (exit, text) = publish(&write_tree("many", &files), log, &["--timeout-ms", "60000"]).await;

    assert_eq!(exit, Some(0), "{:.300}", text);
    assert_eq!(paths_in_force(log).await.len(), 1_200);
}

#[tokio::test]
async fn quotas_and_jobs_that_change_together_go_in_an_order_that_passes() {
    let log = start_log(AppendBehavior::Succeed).await;
    let small_job = JOB.replace("4000", "500");
    let large = [("desk/jobs/a.jsonc", JOB), ("desk/quota.jsonc", QUOTA)];
    let small = [
        ("desk/jobs/a.jsonc", small_job.as_str()),
        ("desk/quota.jsonc", SMALL_QUOTA),
    ];

    let (first, text) = publish(&write_tree("large", &large), log, &[]).await;
    let (shrunk, _) = publish(&write_tree("small", &small), log, &[]).await;
    let (grown, _) = publish(&write_tree("large", &large), log, &[]).await;

    assert_eq!([first, shrunk, grown], [Some(0); 3], "{text}");
}

#[tokio::test]
async fn a_job_above_the_quota_is_refused_before_anything_is_published() {
    let log = start_log(AppendBehavior::Succeed).await;
    let files = [
        ("desk/jobs/a.jsonc", JOB),
        ("desk/quota.jsonc", SMALL_QUOTA),
    ];
    let tree = write_tree("above", &files);

    let (exit, text) = publish(&tree, log, &[]).await;
    let (check_exit, checked) = exit_and_text(&run(&["check", tree.to_str().unwrap()]).await);

    assert_eq!(exit, Some(4), "{text}");
    assert!(
        text.contains("field size: value {\"cpu_milli\":4000"),
        "{text}"
    );
    assert_eq!(record_count(log).await, 0);
    assert_eq!(check_exit, Some(2));
    assert!(checked.contains("a.jsonc:1:"), "{checked}");
}

#[tokio::test]
async fn history_shows_path_field_value_and_rule_of_a_refusal() {
    let log = start_log(AppendBehavior::Succeed).await;
    let bad = publication("stranger", "rival", None);
    let client = HttpLog::new(log, Duration::from_secs(5));
    client
        .append(CONFIG_STREAM, &[bad, "{".into()])
        .await
        .unwrap();

    let lines = history(log).await;

    assert_eq!(lines[0]["path"], "desk/jobs/a");
    assert_eq!(lines[0]["outcome"], "refused");
    assert_eq!(lines[0]["field"], "team");
    assert_eq!(lines[0]["value"], "rival");
    assert_eq!(lines[0]["rule"], "the path belongs to team desk");
    assert_eq!(lines[1]["path"], "-");
}

#[tokio::test]
async fn a_size_that_fits_no_worker_is_refused_with_the_host_list() {
    let hosts = start_hosts().await.to_string();
    let log = start_log(AppendBehavior::Succeed).await;
    let tree = write_tree("misfit", &[("desk/jobs/a.jsonc", JOB)]);

    let (exit, text) = publish(&tree, log, &["--hosts", &hosts]).await;
    let (check_exit, checked) =
        exit_and_text(&run(&["check", tree.to_str().unwrap(), "--hosts", &hosts]).await);

    assert_eq!(exit, Some(2), "{text}");
    assert!(text.contains("fits none of the 1 workers"), "{text}");
    assert_eq!(record_count(log).await, 0);
    assert_eq!(check_exit, Some(2), "{checked}");
}

#[tokio::test]
async fn an_accepted_change_is_not_reported_as_failed_when_no_daemon_answers() {
    let log = start_log(AppendBehavior::Succeed).await;
    let tree = write_tree("no-daemon", &[("desk/jobs/a.jsonc", JOB)]);

    let (exit, text) = publish(&tree, log, &["--wait", "--daemon", "127.0.0.1:1"]).await;

    assert_eq!(exit, Some(4), "{text}");
    assert!(text.contains("accepted, but"), "{text}");
}
