use serde_json::json;

use super::read_config::read_config;
use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints what became of the newest publications.
pub(crate) async fn history(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let log = arguments.log()?;
    let is_json = arguments.is_json;
    arguments.finish()?;
    let state = read_config(&log).await?;
    let mut table = new_table(&["OFFSET", "PATH", "OUTCOME"]);
    let mut lines = Vec::new();
    for outcome in state.outcomes() {
        let path = outcome
            .path
            .as_ref()
            .map_or_else(|| "-".to_owned(), ToString::to_string);
        let said = match &outcome.refusal {
            None => "accepted".to_owned(),
            Some(refusal) => format!("refused: {refusal}"),
        };
        table.add_row([outcome.offset.to_string(), path.clone(), said.clone()]);
        lines.push(json!({ "offset": outcome.offset, "path": path, "outcome": said }));
    }
    if is_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&lines).map_err(Failure::usage)?
        );
    } else {
        println!("{table}");
    }
    Ok(())
}
