use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::Role;
use dotterelhook_platform::http::JsonClient;
use dotterelhook_state::shard::LedgerLine;
use serde_json::json;

use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints the runs of all schedulers that the daemon knows.
pub(crate) async fn jobs(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let members: Vec<Member> = daemon.get("/members").await?.check()?.decode()?;
    let mut lines: Vec<LedgerLine> = Vec::new();
    let mut missing = Vec::new();
    for member in members
        .iter()
        .filter(|m| m.heartbeat.member.role.covers(Role::Scheduler))
    {
        let client = JsonClient::new(member.heartbeat.admin_address, timeout);
        let answer = client.get("/runs").await.and_then(|answer| answer.check());
        match answer.and_then(|answer| answer.decode::<Vec<LedgerLine>>()) {
            Ok(found) => lines.extend(found),
            Err(_) if member.state == MemberState::Dead => {}
            Err(error) => missing.push(format!("{}: {error}", member.heartbeat.member)),
        }
    }
    lines.sort_by(|a, b| a.run.cmp(&b.run));
    if is_json {
        let report = json!({ "runs": lines, "missing": missing });
        println!(
            "{}",
            serde_json::to_string_pretty(&report).map_err(Failure::usage)?
        );
    } else {
        print_table(&lines);
    }
    if missing.is_empty() {
        return Ok(());
    }
    Err(Failure::Refused(format!(
        "incomplete, no answer from {}",
        missing.join(", ")
    )))
}

fn print_table(lines: &[LedgerLine]) {
    let headings = [
        "RUN", "TEAM", "JOB", "STATUS", "DONE", "RUNNING", "WAITING", "NOTE",
    ];
    let mut table = new_table(&headings);
    for line in lines {
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
