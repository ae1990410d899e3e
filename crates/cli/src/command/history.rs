use dotterelhook_state::config::PublicationOutcome;
use serde_json::json;

use super::read_config::read_config_within;
use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

const COLUMNS: [&str; 6] = ["OFFSET", "PATH", "OUTCOME", "FIELD", "VALUE", "RULE"];
const TABLE_VALUE_MAX_CHARS: usize = 24;

/// Prints the outcomes of the newest publications.
pub(crate) async fn history(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let log = arguments.log()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let state = read_config_within(&log, timeout).await?;
    if is_json {
        let lines: Vec<_> = state
            .outcomes()
            .iter()
            .map(|outcome| to_json(outcome))
            .collect();
        let text = serde_json::to_string_pretty(&lines).map_err(Failure::usage)?;
        println!("{text}");
        return Ok(());
    }
    let mut table = new_table(&COLUMNS);
    for outcome in state.outcomes() {
        table.add_row(to_row(outcome));
    }
    println!("{table}");
    Ok(())
}

fn path_or_dash(outcome: &PublicationOutcome) -> &str {
    outcome.path.as_ref().map_or("-", |path| path.as_str())
}

fn acceptance(outcome: &PublicationOutcome) -> &'static str {
    match outcome.refusal {
        None => "accepted",
        Some(_) => "refused",
    }
}

fn to_json(outcome: &PublicationOutcome) -> serde_json::Value {
    let refusal = outcome.refusal.as_ref();
    json!({
        "offset": outcome.offset,
        "path": path_or_dash(outcome),
        "outcome": acceptance(outcome),
        "field": refusal.map(|refusal| refusal.field()),
        "value": refusal.map(|_| &outcome.value),
        "rule": refusal.map(|refusal| refusal.rule()),
    })
}

fn to_row(outcome: &PublicationOutcome) -> [String; 6] {
    let refusal = outcome.refusal.as_ref();
    [
        outcome.offset.to_string(),
        path_or_dash(outcome).to_owned(),
        acceptance(outcome).to_owned(),
        refusal.map_or("", |refusal| refusal.field()).to_owned(),
        truncate(&outcome.value),
        refusal.map_or_else(String::new, |refusal| refusal.rule().into_string()),
    ]
}

fn truncate(value: &str) -> String {
    match value.char_indices().nth(TABLE_VALUE_MAX_CHARS) {
        None => value.to_owned(),
        Some((end, _)) => format!("{}…", &value[..end]),
    }
}
