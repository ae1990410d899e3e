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
use super::publisher::describe_refusal;
use super::read_config::read_config_within;
use super::worker_capacities::WorkerCapacities;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// The pause between two queries of the rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the documents of a directory that differ from the configuration in force, and removes
/// the paths that `--remove` names.
///
/// # Errors
/// An argument or a file is invalid, a change is refused, the log can't be read or written, or the
/// change is not in force everywhere when `--wait` times out.
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
        WorkerCapacities::fetch(hosts, timeout)
            .await?
            .check_sizes(&mut tree);
    }
    check_publishable(&tree, &removed)?;
    let state = read_config_within(&log, timeout).await?;
    let plan = Plan::new(&state, tree.documents, &removed);
    plan.print();
    let refusals = plan.expected_refusals(&state);
    if !refusals.is_empty() {
        let refusals: Vec<String> = refusals
            .iter()
            .map(|refusal| describe_refusal(refusal))
            .collect();
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
            .map_err(report_as_accepted),
        None => Ok(()),
    }
}

/// Reads the directory. The argument is optional if `--remove` names a path.
fn read_tree(
    arguments: &mut CommonArguments,
    removed: &[ConfigPath],
) -> Result<ConfigTree, Failure> {
    if removed.is_empty() {
        let directory = required_directory(arguments)?;
        return Ok(ConfigTree::read(Path::new(&directory)));
    }
    let directory = arguments.next_positional()?;
    Ok(directory.map_or_else(ConfigTree::default, |directory| {
        ConfigTree::read(Path::new(&directory))
    }))
}

fn check_publishable(tree: &ConfigTree, removed: &[ConfigPath]) -> Result<(), Failure> {
    if !tree.errors.is_empty() {
        tree.errors.iter().for_each(|error| println!("{error}"));
        return Err(Failure::Usage("nothing was published".to_owned()));
    }
    match removed
        .iter()
        .find(|path| tree.documents.contains_key(*path))
    {
        Some(path) => Err(Failure::Usage(format!(
            "nothing was published: {path} is named by --remove but exists in the directory"
        ))),
        None => Ok(()),
    }
}

/// Turns a failed call after the append into `Refused`: the change was accepted, so the exit code
/// must not say that nothing was changed.
pub(super) fn report_as_accepted(failure: Failure) -> Failure {
    match failure {
        Failure::Call(error) => Failure::Refused(format!(
            "accepted, but the daemon could not be queried for the rollout: {error}"
        )),
        other => other,
    }
}

/// Waits until every live member has the records below `end` in force.
pub(super) async fn wait_until_in_force(
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
            return Err(incomplete_rollout(&rollout));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn incomplete_rollout(rollout: &Rollout) -> Failure {
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
