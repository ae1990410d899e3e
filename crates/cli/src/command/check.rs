use std::path::Path;

use dotterelhook_state::config::ConfigState;

use super::config_tree::ConfigTree;
use super::plan::Plan;
use super::worker_capacities::WorkerCapacities;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Checks a directory of settings and prints all errors.
///
/// The check needs no network, unless `--hosts` names a host list.
///
/// # Errors
/// An argument is invalid, a file has an error, or the host list can't be read.
pub(crate) async fn check(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    let hosts = arguments.hosts()?;
    let directory = required_directory(&mut arguments)?;
    arguments.finish()?;
    let mut tree = ConfigTree::read(Path::new(&directory));
    let plan = Plan::new(&ConfigState::default(), tree.documents.clone(), &[]);
    for refusal in plan.expected_refusals(&ConfigState::default()) {
        tree.add_refusal(&refusal);
    }
    if let Some(hosts) = hosts {
        WorkerCapacities::fetch(hosts, timeout)
            .await?
            .check_sizes(&mut tree);
    }
    if is_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&tree.errors).map_err(Failure::usage)?
        );
    } else {
        tree.errors.iter().for_each(|error| println!("{error}"));
    }
    if !tree.errors.is_empty() {
        return Err(Failure::Usage(format!(
            "{} faults in {directory}",
            tree.errors.len()
        )));
    }
    if !is_json {
        println!("{directory}: {} documents, no fault", tree.documents.len());
    }
    Ok(())
}

/// Returns the directory argument, which must be given.
pub(super) fn required_directory(arguments: &mut CommonArguments) -> Result<String, Failure> {
    let directory = arguments.next_positional()?;
    directory.ok_or_else(|| Failure::Usage("a directory must be given; try --help".to_owned()))
}
