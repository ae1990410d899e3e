use std::time::Duration;

use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::Rollout;
use dotterelhook_state::config::EvacuationPhase;
use dotterelhook_state::config::EvacuationReport;
use dotterelhook_types::ids::Offset;
use serde_json::json;

use super::collected_evacuations::collect_evacuations;
use super::evacuate::unix_ms;
use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

const EVACUATION_COLUMNS: [&str; 6] = [
    "EVACUATION",
    "STATE",
    "VERSION",
    "SINCE",
    "CHECKPOINTED",
    "OTHER",
];
const COLUMNS: [&str; 7] = ["DOMAIN", "HOST", "ROLE", "STATE", "OFFSET", "HEARD", "LOG"];

/// Prints the members that the daemon lists, with the offset that each has in force, and the
/// evacuations.
///
/// # Errors
/// The daemon can't be queried, or a failure domain can't be reached from it.
pub(crate) async fn status(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let mut members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
    members.sort_by(|a, b| a.heartbeat.failure_domain.cmp(&b.heartbeat.failure_domain));
    let evacuations = collect_evacuations(&daemon, &members, timeout).await?;
    if is_json {
        let report = json!({ "members": members, "evacuations": evacuations });
        let text = serde_json::to_string_pretty(&report).map_err(Failure::usage)?;
        println!("{text}");
    } else {
        print_table(&members);
        print_evacuations(&evacuations);
    }
    check_reachable(&members)
}

fn print_table(members: &[Member]) {
    let mut table = new_table(&COLUMNS);
    for member in members {
        let heartbeat = &member.heartbeat;
        let log_contact = match heartbeat.log_contact_age_ms {
            Some(age_ms) => format_seconds(age_ms.saturating_add(member.age_ms)),
            None => "never".to_owned(),
        };
        table.add_row([
            heartbeat.failure_domain.to_string(),
            heartbeat.member.host.to_string(),
            heartbeat.member.role.to_string(),
            member.state.to_string(),
            heartbeat.config_offset.to_string(),
            format_seconds(member.age_ms),
            log_contact,
        ]);
    }
    println!("{table}");
}

fn print_evacuations(evacuations: &[EvacuationReport]) {
    if evacuations.is_empty() {
        return;
    }
    let mut table = new_table(&EVACUATION_COLUMNS);
    for report in evacuations {
        let count = |count: Option<u32>| match count {
            Some(count) => count.to_string(),
            None if report.phase == EvacuationPhase::Ended => "-".to_owned(),
            None => "unknown".to_owned(),
        };
        let since = report.requested_at_unix_ms.map_or_else(
            || "-".to_owned(),
            |at_unix_ms| format_seconds(unix_ms().saturating_sub(at_unix_ms)),
        );
        table.add_row([
            report.failure_domain.to_string(),
            report.phase.to_string(),
            report.offset.to_string(),
            since,
            count(report.running.map(|running| running.checkpointable)),
            count(report.running.map(|running| running.other)),
        ]);
    }
    println!("\n{table}");
}

/// Fails if the daemon can't reach a whole failure domain.
fn check_reachable(members: &[Member]) -> Result<(), Failure> {
    let rollout = Rollout::from_members(members, Offset::default());
    if rollout.unreachable_ms.is_empty() {
        return Ok(());
    }
    let domains: Vec<String> = rollout
        .unreachable_ms
        .iter()
        .map(|(domain, age_ms)| format!("{domain} (last heard {} ago)", format_seconds(*age_ms)))
        .collect();
    let names = domains.join(", ");
    Err(Failure::Refused(format!(
        "failure domains that can't be reached: {names}"
    )))
}

fn format_seconds(age_ms: u64) -> String {
    format!("{:.1} s", Duration::from_millis(age_ms).as_secs_f64())
}
