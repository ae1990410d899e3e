//! `report losses` against schedulers with fixed answers.
//! Guards against losses that are not listed, against stale lines of schedulers that don't own the
//! shard, and against an incomplete report that looks complete.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::http::json_answer;
use dotterelhook_standins::server::Answer;
use dotterelhook_standins::server::FaultSwitch;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

/// The admin API of a scheduler, with fixed answers.
struct Scheduler {
    members: Value,
    runs: Value,
    faults: FaultSwitch,
}

#[async_trait]
impl Handler for Scheduler {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, _: &Method, path: &str, _: &str, _: Bytes) -> Answer {
        match path {
            "/members" => json_answer(StatusCode::OK, &self.members),
            "/runs" => json_answer(StatusCode::OK, &self.runs),
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

fn member(host: &str, address: SocketAddr) -> Value {
    json!({
        "heartbeat": {
            "member": { "host": host, "role": "scheduler" },
            "incarnation": 1,
            "failure_domain": "laguna",
            "peer_address": address,
            "admin_address": address,
            "api_address": address,
            "config_offset": 0,
            "log_contact_age_ms": null,
            "is_draining": false,
            "sequence": 1,
            "draining_targets": [],
        },
        "age_ms": 0,
        "state": "alive",
    })
}

fn run_summary(run: &str, changed_fields: &Value) -> Value {
    let mut line = json!({
        "run": run, "team": "night", "job": "cut", "status": "active", "is_overdue": false,
        "tasks": 4, "done": 1, "running": 1, "waiting": 2, "deadline_at_unix_ms": 9,
        "cause": null, "is_from_owner": true,
    });
    let fields = line.as_object_mut().unwrap();
    fields.extend(changed_fields.as_object().unwrap().clone());
    line
}

/// Starts a scheduler that lists itself and the given members, and returns its address.
async fn start_scheduler(runs: Value, others: &[Value]) -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(any_port).await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut members = vec![member("h0", address)];
    members.extend_from_slice(others);
    let scheduler = Scheduler {
        members: json!(members),
        runs,
        faults: FaultSwitch::default(),
    };
    tokio::spawn(serve(listener, Arc::new(scheduler)));
    address
}

async fn report(daemon: SocketAddr) -> (Output, Value) {
    let output = tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_dotterelhook"))
            .args([
                "report",
                "losses",
                "--json",
                "--daemon",
                &daemon.to_string(),
            ])
            .output()
            .unwrap()
    });
    let output = output.await.unwrap();
    let report = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output, report)
}

fn runs_and_kinds(report: &Value) -> Vec<(&str, &str)> {
    let losses = report["losses"].as_array().unwrap();
    losses
        .iter()
        .map(|loss| {
            (
                loss["run"]["run"].as_str().unwrap(),
                loss["kind"].as_str().unwrap(),
            )
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_loss_has_its_line() {
    let runs = json!([
        run_summary("a-fine", &json!({})),
        run_summary(
            "b-failed",
            &json!({ "status": "failed", "cause": "task 3: broken" })
        ),
        run_summary("c-overdue", &json!({ "is_overdue": true })),
        run_summary("d-waits", &json!({ "waits": ["waits for worker w1"] })),
        run_summary("e-alone", &json!({ "is_from_owner": false })),
        run_summary(
            "f-done",
            &json!({ "status": "complete", "is_from_owner": false })
        ),
    ]);
    let daemon = start_scheduler(runs, &[]).await;

    let (output, report) = report(daemon).await;

    assert!(output.status.success(), "{output:?}");
    let expected = [
        ("b-failed", "failed"),
        ("c-overdue", "overdue"),
        ("d-waits", "waits-for-worker"),
        ("e-alone", "no-owner"),
    ];
    assert_eq!(runs_and_kinds(&report), expected);
    assert_eq!(report["losses"][0]["detail"], "task 3: broken");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_owner_has_the_last_word_on_a_run() {
    let follower = json!([run_summary(
        "run",
        &json!({ "is_from_owner": false, "is_overdue": true })
    )]);
    let follower = start_scheduler(follower, &[]).await;
    let owner = json!([run_summary("run", &json!({}))]);
    let daemon = start_scheduler(owner, &[member("h1", follower)]).await;

    let (_, report) = report(daemon).await;

    assert!(runs_and_kinds(&report).is_empty(), "{report}");
}

/// The shard that a run has left keeps a line of it; where it is now tells its progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_has_moved_is_told_by_its_new_shard() {
    let left = json!({ "status": "moved", "cause": "moved to failure domain pampanga" });
    let late = json!({ "is_overdue": true });
    for (first, second) in [(&left, &late), (&late, &left)] {
        let other = start_scheduler(json!([run_summary("run", first)]), &[]).await;
        let lines = json!([run_summary("run", second)]);
        let daemon = start_scheduler(lines, &[member("h1", other)]).await;

        let (_, report) = report(daemon).await;

        assert_eq!(runs_and_kinds(&report), [("run", "overdue")], "{report}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_scheduler_without_an_answer_makes_the_report_incomplete() {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let daemon = start_scheduler(json!([]), &[member("h1", unused_address)]).await;

    let (output, report) = report(daemon).await;

    assert_eq!(output.status.code(), Some(4));
    assert_eq!(report["missing"].as_array().unwrap().len(), 1);
}
