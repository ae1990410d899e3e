use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::Rollout;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;

use super::check::required_directory;
use super::config_tree::ConfigTree;
use super::plan::Plan;
use super::publisher::Publisher;
use super::publisher::describe;
use super::read_config::read_config_within;
use super::worker_fit::WorkerFit;
use crate::cli::CommonArguments;
use crate::cli::Failure;

const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Publishes what differs in a directory of settings, and removes the paths that are named.
pub(crate) async fn publish(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let timeout = arguments.timeout;
    let deadline = tokio::time::Instant::now() + timeout;
    let log = arguments.log()?;
    let hosts = arguments.hosts()?;
    let removed = arguments.removed_paths()?;
    let is_dry_run = arguments.flag("--dry-run");
    let daemon = if arguments.flag("--wait") {
        Some(arguments.daemon()?)
    } else {
        None
    };
    let mut tree = read_tree(&mut arguments, &removed)?;
    arguments.finish()?;
    if let Some(hosts) = hosts {
        WorkerFit::read(hosts, timeout).await?.check(&mut tree);
    }
    check_tree(&tree, &removed)?;
    let state = read_config_within(&log, timeout).await?;
    let plan = Plan::new(&state, tree.documents, &removed);
    plan.print();
    let refusals = plan.refusals(&state);
    if !refusals.is_empty() {
        let refusals: Vec<String> = refusals.iter().map(|refusal| describe(refusal)).collect();
        let text = format!("nothing was published: {}", refusals.join("; "));
        return Err(Failure::Refused(text));
    }
    if is_dry_run || plan.is_empty() {
        return Ok(());
    }
    let publisher = Publisher::new(&log, state, deadline);
    let end = publisher.publish(&plan).await?;
    match daemon {
        Some(daemon) => wait_until_in_force(&daemon, end, timeout)
            .await
            .map_err(accepted_all_the_same),
        None => Ok(()),
    }
}

/// Reads the directory; it may be left out if paths are removed.
fn read_tree(
    arguments: &mut CommonArguments,
    removed: &[ConfigPath],
) -> Result<ConfigTree, Failure> {
    if removed.is_empty() {
        let directory = required_directory(arguments)?;
        return Ok(ConfigTree::read(Path::new(&directory)));
    }
    let directory = arguments.positional()?;
    Ok(directory.map_or_else(ConfigTree::default, |directory| {
        ConfigTree::read(Path::new(&directory))
    }))
}

fn check_tree(tree: &ConfigTree, removed: &[ConfigPath]) -> Result<(), Failure> {
    if !tree.faults.is_empty() {
        tree.faults.iter().for_each(|fault| println!("{fault}"));
        return Err(Failure::Usage("nothing was published".to_owned()));
    }
    match removed
        .iter()
        .find(|path| tree.documents.contains_key(*path))
    {
        Some(path) => Err(Failure::Usage(format!(
            "nothing was published: {path} is to be removed and stands in the directory"
        ))),
        None => Ok(()),
    }
}

/// A change that was accepted is not reported as failed when a daemon can't be asked.
fn accepted_all_the_same(failure: Failure) -> Failure {
    match failure {
        Failure::Call(error) => Failure::Refused(format!(
            "accepted, but the daemon did not say where it is in force: {error}"
        )),
        other => other,
    }
}

async fn wait_until_in_force(
    daemon: &JsonClient,
    end: Offset,
    timeout: Duration,
) -> Result<(), Failure> {
    let deadline = Instant::now() + timeout;
    loop {
        let members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
        let rollout = Rollout::from_members(&members, end);
        if rollout.is_complete() {
            println!("in force everywhere");
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(not_everywhere(&rollout));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

fn not_everywhere(rollout: &Rollout) -> Failure {
    let mut causes: Vec<String> = Vec::new();
    if !rollout.lagging.is_empty() {
        let names: Vec<String> = rollout.lagging.iter().map(ToString::to_string).collect();
        causes.push(format!("not yet in force at {}", names.join(", ")));
    }
    for domain in rollout.unreachable_ms.keys() {
        causes.push(format!("failure domain {domain} can't be reached"));
    }
    Failure::Refused(format!("accepted, but {}", causes.join("; ")))
}
