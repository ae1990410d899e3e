//! `evacuate` against a simulated log.
//! Guards against a request that is appended twice, against one operator who undoes another's change
//! unseen, and against exit codes that claim more than is known when the log fails.

mod simulated_platform;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::Offset;
use serde_json::json;
use simulated_platform::AppendBehavior;
use simulated_platform::exit_and_text;
use simulated_platform::run;
use simulated_platform::start_log;

async fn evacuate(log: SocketAddr, more: &[&str]) -> (Option<i32>, String) {
    let log = log.to_string();
    let arguments = [&["evacuate", "laguna", "--log", &log], more].concat();
    exit_and_text(&run(&arguments).await)
}

/// Returns the number of records, and the failure domains with an evacuation in force.
async fn folded(log: SocketAddr) -> (usize, Vec<String>) {
    let client = HttpLog::new(log, Duration::from_secs(5));
    let page = client.read(CONFIG_STREAM, Offset(0), 1_000, Duration::ZERO);
    let records = page.await.unwrap().records;
    let mut state = ConfigState::default();
    for record in &records {
        let _ = state.apply(record.offset, &record.payload);
    }
    let domains = state.evacuations().map(|(domain, ..)| domain.to_string());
    (records.len(), domains.collect())
}

fn rival_request() -> Box<str> {
    let rival = json!({
        "writer": "rival", "sequence": 1, "team": "operators",
        "path": "operators/evacuations/laguna", "base_offset": null,
        "body": { "requested_at_unix_ms": 5 },
    });
    rival.to_string().into()
}

#[tokio::test]
async fn a_request_ends_with_the_exit_code_that_says_what_is_known() {
    let unknown = "it may still take effect";
    let table = [
        (
            "works",
            AppendBehavior::Succeed,
            "60000",
            0,
            "as version 0",
            1,
        ),
        (
            "answer lost",
            AppendBehavior::LoseAnswer,
            "60000",
            0,
            "as version 0",
            1,
        ),
        (
            "frozen before",
            AppendBehavior::FreezeBefore,
            "700",
            3,
            unknown,
            0,
        ),
        (
            "frozen after",
            AppendBehavior::FreezeAfter,
            "700",
            3,
            unknown,
            1,
        ),
        (
            "another was first",
            AppendBehavior::AppendRivalFirst(rival_request()),
            "60000",
            4,
            "version 0 is in force",
            2,
        ),
    ];
    for (name, behavior, timeout_ms, code, wanted, records) in table {
        let is_readable = code != 3;
        let log = start_log(behavior).await;

        let (exit, text) = evacuate(log, &["--timeout-ms", timeout_ms]).await;

        assert_eq!(exit, Some(code), "{name}: {text}");
        assert!(text.contains(wanted), "{name}: {text}");
        if is_readable {
            let laguna = vec!["laguna".to_owned()];
            assert_eq!(folded(log).await, (records, laguna), "{name}");
        }
    }
}

#[tokio::test]
async fn an_evacuation_is_requested_and_ended_once() {
    let log = start_log(AppendBehavior::Succeed).await;

    let (early, early_text) = evacuate(log, &["--end"]).await;
    let (first, _) = evacuate(log, &[]).await;
    let (again, again_text) = evacuate(log, &[]).await;
    let during = folded(log).await;
    let (ended, ended_text) = evacuate(log, &["--end"]).await;
    let after = folded(log).await;
    let (twice, _) = evacuate(log, &["--end"]).await;
    let (anew, _) = evacuate(log, &[]).await;

    assert_eq!(early, Some(4), "{early_text}");
    assert_eq!((first, again), (Some(0), Some(0)));
    assert!(
        again_text.contains("evacuated already, version 0"),
        "{again_text}"
    );
    assert_eq!(during, (1, vec!["laguna".to_owned()]));
    assert_eq!(ended, Some(0), "{ended_text}");
    assert_eq!(after, (2, vec![]));
    assert_eq!((twice, anew), (Some(4), Some(0)));
}

#[tokio::test]
async fn a_request_that_names_nothing_changes_nothing() {
    let log = start_log(AppendBehavior::Succeed).await;
    let address = log.to_string();
    let invalid: [&[&str]; 4] = [
        &["evacuate", "--log", &address],
        &["evacuate", "Laguna 1", "--log", &address],
        &["evacuate", "laguna", "--log", &address, "--wait"],
        &["evacuate", "laguna", "extra", "--log", &address],
    ];
    for arguments in invalid {
        let (exit, text) = exit_and_text(&run(arguments).await);

        assert_eq!(exit, Some(2), "{arguments:?}: {text}");
    }
    assert_eq!(folded(log).await, (0, vec![]));
}

/// A directory of settings is published again and again; it must not request an evacuation.
#[tokio::test]
async fn a_directory_of_settings_can_not_evacuate() {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join("evacuate-directory");
    let directory = root.join("operators/evacuations");
    fs::create_dir_all(&directory).unwrap();
    fs::write(
        directory.join("laguna.jsonc"),
        r#"{ "requested_at_unix_ms": 1 }"#,
    )
    .unwrap();

    let (exit, text) = exit_and_text(&run(&["check", root.to_str().unwrap()]).await);

    assert_eq!(exit, Some(2), "{text}");
    assert!(
        text.contains("request it with dotterelhook evacuate"),
        "{text}"
    );
}
