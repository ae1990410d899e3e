use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::RunSummary;
use serde::Serialize;
use serde_json::json;

use super::collected_runs::CollectedRuns;
use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// The reason why a run is listed as a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
enum LossKind {
    Failed,
    Overdue,
    WaitsForWorker,
    NoOwner,
}

/// One row of the report; a run with several kinds of loss has several rows.
#[derive(Debug, Serialize)]
struct Loss<'a> {
    kind: LossKind,
    run: &'a RunSummary,
    detail: String,
}

/// Prints the runs that failed, are overdue, wait for a silent worker or have no owner.
///
/// # Errors
/// The daemon can't be queried, or a scheduler did not answer: the report is then incomplete.
pub(crate) async fn report_losses(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let runs = CollectedRuns::fetch(&daemon, timeout).await?;
    let losses: Vec<Loss<'_>> = runs.lines.iter().flat_map(losses_of).collect();
    if is_json {
        let report = json!({ "losses": losses, "missing": runs.missing });
        let text = serde_json::to_string_pretty(&report).map_err(Failure::usage)?;
        println!("{text}");
    } else if losses.is_empty() {
        println!("no losses among {} runs", runs.lines.len());
    } else {
        print_table(&losses);
    }
    runs.check_complete()
}

fn losses_of(run: &RunSummary) -> Vec<Loss<'_>> {
    let mut losses = Vec::new();
    let mut add = |kind, detail| losses.push(Loss { kind, run, detail });
    let is_active = run.status == RunStatus::Active;
    if run.status == RunStatus::Failed {
        let cause = run.cause.as_deref().unwrap_or("no cause is known");
        add(LossKind::Failed, cause.to_owned());
    }
    if run.is_overdue {
        let ended = if is_active {
            "still active"
        } else {
            "ended late"
        };
        let deadline = run.deadline_at_unix_ms;
        add(
            LossKind::Overdue,
            format!("{ended}, deadline {deadline} (Unix time in ms)"),
        );
    }
    for wait in &run.waits {
        add(LossKind::WaitsForWorker, wait.to_string());
    }
    if is_active && !run.is_from_owner {
        add(
            LossKind::NoOwner,
            "no scheduler that answered owns its shard".to_owned(),
        );
    }
    losses
}

fn print_table(losses: &[Loss<'_>]) {
    let mut table = new_table(&["RUN", "TEAM", "JOB", "DONE", "LOSS", "DETAIL"]);
    for loss in losses {
        let run = loss.run;
        table.add_row([
            run.run.to_string(),
            run.team.to_string(),
            run.job.to_string(),
            format!("{}/{}", run.done, run.tasks),
            loss.kind.to_string(),
            loss.detail.clone(),
        ]);
    }
    println!("{table}");
}
