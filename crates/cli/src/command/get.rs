use std::collections::BTreeMap;

use dotterelhook_types::ids::ConfigPath;

use super::read_config::read_config_within;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints the documents in force as JSON, all of them or one path.
pub(crate) async fn get(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let log = arguments.log()?;
    let path: Option<ConfigPath> = arguments
        .next_positional()?
        .map(|path| path.parse())
        .transpose()
        .map_err(Failure::usage)?;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let state = read_config_within(&log, timeout).await?;
    let is_selected = |candidate: &ConfigPath| path.as_ref().is_none_or(|path| path == candidate);
    let documents: BTreeMap<_, _> = state
        .versions()
        .iter()
        .filter(|(candidate, _)| is_selected(candidate))
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
