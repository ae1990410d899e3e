//! `status` and `publish --wait` against a daemon with a fixed list of members.
//! Guards against a rollout that is reported as complete while a member lags or a failure domain
//! can't be reached.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::http::json_answer;
use dotterelhook_peer::membership::Heartbeat;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::Role;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Answer;
use dotterelhook_standins::server::FaultSwitch;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::serve;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;

/// The admin API of a daemon, with a fixed list of members and of evacuations.
struct Daemon {
    members: Vec<Member>,
    evacuations: Value,
    faults: FaultSwitch,
}

#[async_trait]
impl Handler for Daemon {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, _: &Method, path: &str, _: &str, _: Bytes) -> Answer {
        match path {
            "/members" => json_answer(StatusCode::OK, &self.members),
            "/evacuations" => json_answer(StatusCode::OK, &self.evacuations),
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

fn member(domain: &str, host: &str, state: MemberState, offset: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Member {
        heartbeat: Heartbeat {
            member: MemberId {
                host: host.parse().expect("a name"),
                role: Role::Scheduler,
            },
            incarnation: Incarnation(1),
            sequence: 1,
            failure_domain: domain.parse().expect("a name"),
            peer_address: address,
            admin_address: address,
            api_address: address,
            config_offset: Offset(offset),
            log_contact_age_ms: Some(1_500),
            is_draining: false,
            draining_targets: Vec::new(),
        },
        age_ms: 500,
        state,
    }
}

async fn start(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, handler));
    address
}

async fn start_daemon(members: Vec<Member>) -> SocketAddr {
    start_evacuating_daemon(members, json!([])).await
}

async fn start_evacuating_daemon(members: Vec<Member>, evacuations: Value) -> SocketAddr {
    let daemon = Daemon {
        members,
        evacuations,
        faults: FaultSwitch::default(),
    };
    start(Arc::new(daemon)).await
}

fn evacuation(domain: &str, phase: &str, running: Value) -> Value {
    json!({
        "failure_domain": domain, "offset": 4, "requested_at_unix_ms": 1, "phase": phase,
        "running": running,
    })
}

async fn run(arguments: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_dotterelhook"))
        .args(arguments)
        .output()
        .await;
    command.expect("runs")
}

async fn publish(members: Vec<Member>) -> Output {
    let log = start(Arc::new(LogServer::new(1_000))).await.to_string();
    let daemon = start_daemon(members).await.to_string();
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config/habagat");
    run(&[
        "publish",
        directory,
        "--log",
        &log,
        "--timeout-ms",
        "1500",
        "--wait",
        "--daemon",
        &daemon,
    ])
    .await
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn status_shows_each_member() {
    let members = vec![
        member("pampanga", "p-1", MemberState::Suspect, 7),
        member("laguna", "l-1", MemberState::Alive, 8),
    ];
    let daemon = start_daemon(members).await.to_string();

    let output = run(&["status", "--daemon", &daemon]).await;

    let lines = text(&output.stdout);
    let words: Vec<Vec<&str>> = lines
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(output.status.code(), Some(0), "{lines}");
    assert_eq!(
        words[1],
        [
            "laguna",
            "l-1",
            "scheduler",
            "alive",
            "8",
            "0.5",
            "s",
            "2.0",
            "s"
        ]
    );
    assert_eq!(
        words[2],
        [
            "pampanga",
            "p-1",
            "scheduler",
            "suspect",
            "7",
            "0.5",
            "s",
            "2.0",
            "s"
        ]
    );
}

#[tokio::test]
async fn status_names_domains_that_cannot_be_reached() {
    let members = vec![
        member("laguna", "l-1", MemberState::Alive, 8),
        member("pampanga", "p-1", MemberState::Unreachable, 8),
    ];
    let daemon = start_daemon(members).await.to_string();

    for format in [
        &["status", "--daemon"][..],
        &["status", "--json", "--daemon"],
    ] {
        let output = run(&[format, &[&daemon]].concat()).await;

        assert_eq!(output.status.code(), Some(4));
        assert!(text(&output.stderr).contains("pampanga (last heard 0.5 s ago)"));
        assert!(!text(&output.stderr).contains("laguna"));
    }
}

/// The daemon that is asked may be in another failure domain and then can't tell what runs there.
#[tokio::test]
async fn status_shows_evacuations_with_the_numbers_of_their_own_schedulers() {
    let running = json!({ "checkpointable": 3, "other": 1 });
    let own = json!([evacuation("laguna", "emptying", running)]);
    let scheduler = start_evacuating_daemon(Vec::new(), own).await;
    let mut in_laguna = member("laguna", "l-1", MemberState::Alive, 8);
    in_laguna.heartbeat.admin_address = scheduler;
    let members = vec![in_laguna, member("pampanga", "p-1", MemberState::Alive, 8)];
    let known = json!([
        evacuation("laguna", "requested", Value::Null),
        evacuation("pampanga", "requested", Value::Null),
        evacuation("quezon", "ended", Value::Null),
    ]);
    let daemon = start_evacuating_daemon(members, known).await.to_string();

    let output = run(&["status", "--daemon", &daemon]).await;

    let lines = text(&output.stdout);
    let words: Vec<Vec<&str>> = lines
        .lines()
        .skip_while(|line| !line.trim_start().starts_with("EVACUATION"))
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(output.status.code(), Some(0), "{lines}");
    let ends = |row: usize| {
        [
            words[row][0],
            words[row][1],
            words[row][words[row].len() - 2],
        ]
    };
    assert_eq!(ends(1), ["laguna", "emptying", "3"], "{lines}");
    assert_eq!(ends(2), ["pampanga", "requested", "unknown"], "{lines}");
    assert_eq!(ends(3), ["quezon", "ended", "-"], "{lines}");
}

#[tokio::test]
async fn publish_waits_for_every_member_that_may_be_alive() {
    let table = [
        (MemberState::Alive, 99, 0, "in force everywhere"),
        (
            MemberState::Alive,
            1,
            4,
            "not yet in force at l-2/scheduler",
        ),
        (
            MemberState::Suspect,
            1,
            4,
            "not yet in force at l-2/scheduler",
        ),
        (
            MemberState::Draining,
            1,
            4,
            "not yet in force at l-2/scheduler",
        ),
        (
            MemberState::Unreachable,
            99,
            4,
            "failure domain laguna can't be reached",
        ),
        (MemberState::Dead, 1, 0, "in force everywhere"),
    ];

    for (state, offset, code, expected) in table {
        let members = vec![
            member("laguna", "l-1", MemberState::Alive, 99),
            member("laguna", "l-2", state, offset),
        ];

        let output = publish(members).await;

        let all = text(&[output.stdout, output.stderr].concat());
        assert_eq!(output.status.code(), Some(code), "{state}: {all}");
        assert!(all.contains(expected), "{state}: {all}");
        assert!(!all.contains("l-1"), "{state}: {all}");
    }
}

/// A misspelled failure domain would evacuate nothing, unnoticed.
#[tokio::test]
async fn evacuate_refuses_a_domain_that_the_daemon_does_not_know() {
    let log = start(Arc::new(LogServer::new(1_000))).await.to_string();
    let members = vec![member("laguna", "l-1", MemberState::Alive, 8)];
    let daemon = start_daemon(members).await.to_string();

    for (domain, code) in [("lagunaa", 2), ("laguna", 0)] {
        let output = run(&["evacuate", domain, "--log", &log, "--daemon", &daemon]).await;

        let all = text(&[output.stdout, output.stderr].concat());
        assert_eq!(output.status.code(), Some(code), "{domain}: {all}");
    }
}
