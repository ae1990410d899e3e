use std::collections::BTreeMap;

use dotterelhook_types::ids::ConfigPath;

use super::read_config::read_config_within;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints the configuration in force, whole or one path.
pub(crate) async fn get(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let log = arguments.log()?;
    let path: Option<ConfigPath> = arguments
        .positional()?
        .map(|p| p.parse())
        .transpose()
        .map_err(Failure::usage)?;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let state = read_config_within(&log, timeout).await?;
    let wanted = |candidate: &ConfigPath| path.as_ref().is_none_or(|path| path == candidate);
    let documents: BTreeMap<_, _> = state
        .versions()
        .iter()
        .filter(|(candidate, _)| wanted(candidate))
        .map(|(candidate, version)| (candidate, &*version.body))
        .collect();
    if let Some(path) = &path
        && documents.is_empty()
    {
        return Err(Failure::Refused(format!("{path} is not in force")));
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&documents).map_err(Failure::usage)?
    );
    Ok(())
}
