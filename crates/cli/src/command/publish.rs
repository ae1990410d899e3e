use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_platform::http::JsonClient;
use dotterelhook_platform::log::HttpLog;
use dotterelhook_platform::log::Log;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::Publication;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use serde_json::Value;

use super::check::required_directory;
use super::config_tree::ConfigTree;
use super::read_config::read_config;
use crate::cli::CommonArguments;
use crate::cli::Failure;

const POLL_PAUSE: Duration = Duration::from_millis(100);

/// One path that differs from what is in force.
struct Change {
    path: ConfigPath,
    base_offset: Option<Offset>,
    body: Value,
}

/// Publishes what differs in a directory of settings.
pub(crate) async fn publish(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let log = arguments.log()?;
    let is_dry_run = arguments.flag("--dry-run");
    let daemon = if arguments.flag("--wait") {
        Some(arguments.daemon()?)
    } else {
        None
    };
    let directory = required_directory(&mut arguments)?;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let tree = ConfigTree::read(Path::new(&directory));
    if !tree.faults.is_empty() {
        tree.faults.iter().for_each(|fault| println!("{fault}"));
        return Err(Failure::Usage("nothing was published".to_owned()));
    }
    let state = read_config(&log).await?;
    let changes = plan(&state, tree.documents);
    print_plan(&changes);
    if is_dry_run || changes.is_empty() {
        return Ok(());
    }
    let end = append(&log, changes, timeout).await?;
    match daemon {
        Some(daemon) => wait_until_in_force(&daemon, end, timeout).await,
        None => Ok(()),
    }
}

fn plan(state: &ConfigState, documents: BTreeMap<ConfigPath, Value>) -> Vec<Change> {
    let changes = documents.into_iter().filter_map(|(path, body)| {
        let version = state.version(&path);
        if version.is_some_and(|version| *version.body == body) {
            return None;
        }
        Some(Change {
            base_offset: version.map(|version| version.offset),
            path,
            body,
        })
    });
    changes.collect()
}

fn print_plan(changes: &[Change]) {
    if changes.is_empty() {
        println!("nothing differs");
    }
    for change in changes {
        match change.base_offset {
            Some(offset) => println!("change {} (version {offset})", change.path),
            None => println!("add    {}", change.path),
        }
    }
}

/// Appends the changes and returns the offset after them.
async fn append(log: &HttpLog, changes: Vec<Change>, timeout: Duration) -> Result<Offset, Failure> {
    let writer: Box<str> = format!("cli-{:016x}", rand::random::<u64>()).into();
    let count = changes.len() as u64;
    let payloads: Vec<Box<str>> = changes
        .into_iter()
        .zip(1..)
        .map(|(change, sequence)| encode(&writer, Sequence(sequence), change))
        .collect();
    let deadline = Instant::now() + timeout;
    let appended = log.append(CONFIG_STREAM, &payloads).await;
    match appended {
        Err(error) if error.verdict == Verdict::NotRun => return Err(error.into()),
        _ => {}
    }
    loop {
        if let Ok(state) = read_config(log).await
            && let Some(end) = find_outcomes(&state, &writer, count)?
        {
            return Ok(end);
        }
        if Instant::now() > deadline {
            let cause = "the log did not say whether it took the change; it may still take effect";
            return Err(CallError::may_have_run(cause).into());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

fn encode(writer: &str, sequence: Sequence, change: Change) -> Box<str> {
    let publication = Publication {
        writer: writer.into(),
        sequence,
        team: change.path.team(),
        path: change.path,
        base_offset: change.base_offset,
        body: Some(change.body),
    };
    serde_json::to_string(&publication)
        .expect("publications are plain data")
        .into()
}

/// Returns the offset after the writer's records once all of them were read back.
fn find_outcomes(state: &ConfigState, writer: &str, count: u64) -> Result<Option<Offset>, Failure> {
    let is_own = |outcome: &&dotterelhook_state::config::Outcome| {
        outcome
            .writer
            .as_ref()
            .is_some_and(|(name, _)| **name == *writer)
    };
    let outcomes: Vec<_> = state.outcomes().filter(is_own).collect();
    if (outcomes.len() as u64) < count {
        return Ok(None);
    }
    let mut refused = Vec::new();
    for outcome in &outcomes {
        let path = outcome
            .path
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default();
        match &outcome.refusal {
            None => println!("accepted {path} as version {}", outcome.offset),
            Some(refusal) => refused.push(format!("{path}: {refusal}")),
        }
    }
    if !refused.is_empty() {
        return Err(Failure::Refused(format!("refused: {}", refused.join("; "))));
    }
    Ok(outcomes.last().map(|outcome| outcome.offset.next()))
}

async fn wait_until_in_force(
    daemon: &JsonClient,
    end: Offset,
    timeout: Duration,
) -> Result<(), Failure> {
    let deadline = Instant::now() + timeout;
    loop {
        let members: Vec<Member> = daemon.get("/members").await?.check()?.decode()?;
        let live = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        let lagging: Vec<String> = live
            .filter(|member| member.heartbeat.config_offset < end)
            .map(|member| member.heartbeat.member.to_string())
            .collect();
        if lagging.is_empty() {
            println!("in force everywhere");
            return Ok(());
        }
        if Instant::now() > deadline {
            let names = lagging.join(", ");
            return Err(Failure::Refused(format!(
                "accepted, but not yet in force at {names}"
            )));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}
