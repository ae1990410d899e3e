//! `check`: findings beyond the errors of single documents, and differences from a version.
//!
//! Guards against settings that are accepted but can't have the effect that they state, and against a
//! comparison with the wrong version.

mod simulated_platform;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;
use simulated_platform::AppendBehavior;
use simulated_platform::exit_and_text;
use simulated_platform::run;
use simulated_platform::start_hosts;
use simulated_platform::start_log;
use simulated_platform::write_tree;

const SERVICE: &str = r#"{ "path_prefix": "/desk/", "timeout_ms": 2000, "replicas": 1,
    "idempotent_methods": ["GET"], "size": { "cpu_milli": 1000, "memory_mb": 1000 },
    "objective": { "latency_ms": 100, "good_percent": 99.0 } }"#;
const JOB: &str = r#"{ "tasks": 8, "size": { "cpu_milli": 1000, "memory_mb": 1000 },
    "run_time_ms": 10000, "deadline_ms": 60000 }"#;
const SMALL_QUOTA: &str = r#"{ "batch": { "cpu_milli": 1000, "memory_mb": 8000 } }"#;
const LARGE_QUOTA: &str = r#"{ "batch": { "cpu_milli": 9000, "memory_mb": 8000 } }"#;

/// The name of a case, its files, more arguments, and the place and the reason of its finding.
type Case<'a> = (
    &'a str,
    Vec<(&'a str, &'a str)>,
    &'a [&'a str],
    &'a str,
    &'a str,
);

async fn check(target: &Path, more: &[&str]) -> (Option<i32>, String) {
    let target = target.to_str().unwrap();
    exit_and_text(&run(&[&["check", target], more].concat()).await)
}

async fn check_json(target: &Path, more: &[&str]) -> Value {
    let target = target.to_str().unwrap();
    let output = run(&[&["check", target, "--json"], more].concat()).await;
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn publish(directory: &Path, log: SocketAddr) {
    let directory = directory.to_str().unwrap();
    let output = run(&["publish", directory, "--log", &log.to_string()]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

fn one_file(name: &str, file: &str, content: &str) -> PathBuf {
    write_tree(&format!("check-{name}"), &[(file, content)])
}

#[tokio::test]
async fn each_finding_names_its_place_and_reason_and_is_no_fault_unless_strict() {
    let hosts = start_hosts().await.to_string();
    let with_hosts = ["--hosts", &hosts];
    let (service, job, quota) = (
        "desk/services/s.jsonc",
        "desk/jobs/j.jsonc",
        "desk/quota.jsonc",
    );
    let foreign_prefix = SERVICE.replace("/desk/", "/desk?/");
    let lower_method = SERVICE.replace("GET", "get");
    let no_method = SERVICE.replace("GET", "G E");
    let short_deadline = JOB.replace("60000", "30000");
    let table: [Case<'_>; 8] = [
        (
            "prefix",
            vec![(service, &foreign_prefix)],
            &[],
            "field path_prefix",
            "'?'",
        ),
        (
            "method",
            vec![(service, &lower_method)],
            &[],
            "idempotent_methods[0]",
            "upper case: GET",
        ),
        (
            "no method",
            vec![(service, &no_method)],
            &[],
            "idempotent_methods[0]",
            "not the name",
        ),
        (
            "no job",
            vec![(quota, LARGE_QUOTA)],
            &[],
            "field batch",
            "team desk has no job",
        ),
        (
            "no target",
            vec![(service, SERVICE)],
            &with_hosts,
            "s.jsonc:1:1",
            "no target",
        ),
        (
            "deadline",
            vec![(job, JOB), (quota, SMALL_QUOTA)],
            &[],
            "field deadline_ms: value 60000",
            "room for 1 of 8 tasks at once, so a run takes 80000 ms (contradiction)",
        ),
        (
            "capacity",
            vec![(job, &short_deadline)],
            &with_hosts,
            "field deadline_ms: value 30000",
            "the largest failure domain has room for 2 of 8 tasks",
        ),
        (
            "quota",
            vec![(job, JOB), (quota, LARGE_QUOTA)],
            &with_hosts,
            "field batch.cpu_milli: value 9000",
            "at most 2000",
        ),
    ];
    for (name, files, more, place, reason) in table {
        let tree = write_tree(&format!("check-{}", name.replace(' ', "-")), &files);

        let (exit, text) = check(&tree, more).await;
        let (strict_exit, _) = check(&tree, &[more, &["--strict"]].concat()).await;
        let json = check_json(&tree, more).await;

        assert_eq!((exit, strict_exit), (Some(0), Some(5)), "{name}: {text}");
        let line = text.lines().next().unwrap_or_default();
        assert!(
            line.contains(place) && line.contains(reason),
            "{name}: {text}"
        );
        assert_eq!(json.as_array().map(Vec::len), Some(1), "{name}: {json}");
        assert_ne!(json[0]["kind"], "error", "{name}");
    }
}

#[tokio::test]
async fn settings_without_a_finding_pass_the_strict_check() {
    let files = [
        ("desk/services/s.jsonc", SERVICE),
        ("desk/jobs/j.jsonc", JOB),
        ("desk/quota.jsonc", LARGE_QUOTA),
    ];
    let tree = write_tree("check-clean", &files);

    let (exit, text) = check(&tree, &["--strict"]).await;

    assert_eq!(exit, Some(0), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
}

#[tokio::test]
async fn a_fault_of_one_file_exits_with_2_and_names_the_key() {
    let table = [
        ("desk/jobs/a.jsonc", r#"{ "tasks": 0 }"#, "a.jsonc:1:1"),
        (
            "desk/jobs/b.jsonc",
            &JOB.replace("10000", "0"),
            "field run_time_ms: value 0",
        ),
        ("desk/other/c.jsonc", "{}", "a file of settings is"),
    ];
    for (file, content, wanted) in table {
        let tree = one_file("fault", file, content);

        let (exit, text) = check(&tree.join(file), &[]).await;

        assert_eq!(exit, Some(2), "{file}: {text}");
        assert!(text.contains(wanted), "{file}: {text}");
    }
}

/// The quota in force limits a job that is checked alone.
#[tokio::test]
async fn one_file_is_checked_together_with_the_rest_of_the_version() {
    let log = start_log(AppendBehavior::Succeed).await;
    let address = log.to_string();
    publish(&one_file("rest", "desk/quota.jsonc", SMALL_QUOTA), log).await;
    let tree = one_file("alone", "desk/jobs/j.jsonc", JOB);
    let file = tree.join("desk/jobs/j.jsonc");

    let (_, alone) = check(&file, &[]).await;
    let (_, text) = check(&file, &["--against", "in-force", "--log", &address]).await;
    let large = one_file("large", "desk/jobs/j.jsonc", &JOB.replace("1000,", "4000,"));
    let against = ["--against", "in-force", "--log", &address];
    let (exit, refused) = check(&large.join("desk/jobs/j.jsonc"), &against).await;

    assert!(!alone.contains("contradiction"), "{alone}");
    assert!(
        text.contains("the team's quota has room for 1 of 8"),
        "{text}"
    );
    assert!(text.contains("desk/jobs/j: new"), "{text}");
    assert_eq!(exit, Some(2), "{refused}");
    assert!(
        refused.contains("must fit in the team's quota"),
        "{refused}"
    );
}

#[tokio::test]
async fn differences_are_those_from_the_version_that_is_named() {
    let log = start_log(AppendBehavior::Succeed).await;
    let address = log.to_string();
    let files = |job: &str| {
        let files = [("desk/jobs/j.jsonc", job), ("desk/jobs/k.jsonc", JOB)];
        write_tree("check-versions", &files)
    };
    publish(&files(JOB), log).await;
    publish(&files(&JOB.replace("\"tasks\": 8", "\"tasks\": 4")), log).await;
    let urgent = JOB.replace("\"tasks\": 8", "\"priority\": \"urgent\", \"tasks\": 8");
    let tree = one_file("difference", "desk/jobs/j.jsonc", &urgent);

    let (_, in_force) = check(&tree, &["--against", "in-force", "--log", &address]).await;
    let (_, first) = check(&tree, &["--against", "1", "--log", &address]).await;
    let (unknown, unknown_text) = check(&tree, &["--against", "9", "--log", &address]).await;
    let (bad, _) = check(&tree, &["--against", "newest", "--log", &address]).await;
    let (without_log, _) = check(&tree, &["--against", "1"]).await;
    let json = check_json(&tree, &["--against", "in-force", "--log", &address]).await;

    let added = "desk/jobs/j: priority is set to \"urgent\"";
    let changed = "desk/jobs/j: tasks changes from 4 to 8";
    let kept = "desk/jobs/k: not given, stays in force";
    for wanted in [added, changed, kept] {
        assert!(in_force.contains(wanted), "{in_force}");
    }
    assert!(
        first.contains(added) && !first.contains("tasks changes"),
        "{first}"
    );
    assert_eq!(unknown, Some(1), "{unknown_text}");
    assert!(
        unknown_text.contains("there is no version 9"),
        "{unknown_text}"
    );
    assert_eq!((bad, without_log), (Some(2), Some(2)));
    let tasks = json!({
        "change": "changed", "path": "desk/jobs/j", "field": "tasks", "from": 4, "to": 8,
    });
    assert_eq!(json["differences"][1], tasks, "{json}");
    assert_eq!(json["findings"], json!([]));
}

#[tokio::test]
async fn settings_that_are_in_force_do_not_differ() {
    let log = start_log(AppendBehavior::Succeed).await;
    let tree = one_file("same", "desk/jobs/j.jsonc", JOB);
    publish(&tree, log).await;

    let against = ["--against", "in-force", "--log", &log.to_string()];
    let (exit, text) = check(&tree, &against).await;

    assert_eq!(exit, Some(0), "{text}");
    assert!(text.contains("no difference"), "{text}");
}

#[tokio::test]
async fn an_evacuation_of_a_failure_domain_without_hosts_is_found() {
    let (hosts, log) = (
        start_hosts().await.to_string(),
        start_log(AppendBehavior::Succeed).await,
    );
    let address = log.to_string();
    for domain in ["laguna", "lagunaa"] {
        let output = run(&["evacuate", domain, "--log", &address]).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }
    let tree = one_file("evacuation", "desk/jobs/j.jsonc", JOB);

    let options = [
        "--against",
        "in-force",
        "--log",
        &address,
        "--hosts",
        &hosts,
    ];
    let (_, text) = check(&tree, &options).await;

    assert!(
        text.contains("no host in the host list is in failure domain lagunaa"),
        "{text}"
    );
    assert_eq!(
        text.matches("no host in the host list").count(),
        1,
        "{text}"
    );
    assert!(!text.contains("stays in force"), "{text}");
}
