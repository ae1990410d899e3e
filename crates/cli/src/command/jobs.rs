use serde_json::json;

use super::collected_runs::CollectedRuns;
use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints the runs of all schedulers among the members that the daemon lists.
///
/// # Errors
/// The daemon can't be queried, or a scheduler did not answer: the list is then incomplete.
pub(crate) async fn jobs(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let runs = CollectedRuns::fetch(&daemon, timeout).await?;
    if is_json {
        let report = json!({ "runs": runs.lines, "missing": runs.missing });
        let text = serde_json::to_string_pretty(&report).map_err(Failure::usage)?;
        println!("{text}");
    } else {
        print_table(&runs);
    }
    runs.check_complete()
}

fn print_table(runs: &CollectedRuns) {
    let headings = [
        "RUN", "TEAM", "JOB", "STATUS", "DONE", "RUNNING", "WAITING", "NOTE",
    ];
    let mut table = new_table(&headings);
    for line in &runs.lines {
        let overdue = if line.is_overdue { "overdue" } else { "" };
        table.add_row([
            line.run.to_string(),
            line.team.to_string(),
            line.job.to_string(),
            line.status.to_string(),
            format!("{}/{}", line.done, line.tasks),
            line.running.to_string(),
            line.waiting.to_string(),
            line.cause.as_deref().unwrap_or(overdue).to_owned(),
        ]);
    }
    println!("{table}");
}
