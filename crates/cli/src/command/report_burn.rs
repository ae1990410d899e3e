use std::collections::BTreeMap;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_front::burn::ServiceBurn;
use dotterelhook_front::burn::WindowBurn;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::Role;
use dotterelhook_types::ids::ServiceName;
use serde_json::Value;
use serde_json::json;

use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// The number of causes in a row of the table.
const CAUSES_SHOWN_MAX: usize = 3;

/// Prints the burn rates of the services' error budgets, summed over all fronts.
///
/// # Errors
/// The daemon can't be queried, or a front did not answer: the sums are then incomplete.
pub(crate) async fn report_burn(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    let timeout = arguments.timeout;
    arguments.finish()?;
    let members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
    let mut services = BTreeMap::new();
    let mut missing = Vec::new();
    for member in members
        .iter()
        .filter(|member| member.heartbeat.member.role.covers(Role::Front))
    {
        let client = JsonClient::new(member.heartbeat.admin_address, timeout);
        let answer = client
            .get("/burn")
            .await
            .and_then(|answer| answer.check_status());
        match answer.and_then(|answer| answer.decode::<Vec<ServiceBurn>>()) {
            Ok(reported) => reported
                .into_iter()
                .for_each(|service| merge_service(&mut services, service)),
            Err(error) => {
                let heartbeat = &member.heartbeat;
                let domain = &heartbeat.failure_domain;
                missing.push(format!("{} of {domain}: {error}", heartbeat.member));
            }
        }
    }
    if is_json {
        let report = json!({
            "services": services.values().map(to_json).collect::<Vec<Value>>(),
            "missing": missing,
        });
        let text = serde_json::to_string_pretty(&report).map_err(Failure::usage)?;
        println!("{text}");
    } else {
        print_table(services.values());
    }
    if missing.is_empty() {
        return Ok(());
    }
    Err(Failure::Refused(format!(
        "incomplete, no answer from {}",
        missing.join(", ")
    )))
}

/// Adds the counts of one front to the sums.
///
/// If the objectives of two fronts differ, the last front's objective is shown.
fn merge_service(services: &mut BTreeMap<ServiceName, ServiceBurn>, reported: ServiceBurn) {
    let Some(merged) = services.get_mut(&reported.service) else {
        services.insert(reported.service.clone(), reported);
        return;
    };
    merged.objective = reported.objective;
    for window in reported.windows {
        let is_same_window = |sum: &&mut WindowBurn| sum.window_s == window.window_s;
        match merged.windows.iter_mut().find(is_same_window) {
            Some(sum) => sum.merge(&window),
            None => merged.windows.push(window),
        }
    }
}

fn to_json(service: &ServiceBurn) -> Value {
    let windows = service.windows.iter().map(|window| {
        json!({
            "window_s": window.window_s,
            "total": window.total,
            "good": window.good,
            "attainment_percent": window.attainment_percent(),
            "burn_rate": window.burn_rate(&service.objective),
            "bad_by_cause": window.bad_by_cause,
        })
    });
    json!({
        "service": service.service,
        "objective": service.objective,
        "windows": windows.collect::<Vec<Value>>(),
    })
}

fn print_table<'a>(services: impl Iterator<Item = &'a ServiceBurn>) {
    let headings = [
        "SERVICE", "WINDOW", "REQUESTS", "GOOD", "AIM", "BURN", "CAUSES",
    ];
    let mut table = new_table(&headings);
    for service in services {
        for window in &service.windows {
            table.add_row([
                service.service.to_string(),
                format!("{} min", window.window_s / 60),
                window.total.to_string(),
                format_or_dash(window.attainment_percent(), "%"),
                format!("{}%", service.objective.good_percent),
                format_or_dash(window.burn_rate(&service.objective), "x"),
                top_causes(window),
            ]);
        }
    }
    println!("{table}");
}

fn format_or_dash(value: Option<f64>, unit: &str) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}{unit}"))
}

/// Returns the most frequent causes of bad answers with their counts, largest first.
fn top_causes(window: &WindowBurn) -> String {
    let mut causes: Vec<(&str, u64)> = window
        .bad_by_cause
        .iter()
        .map(|(cause, count)| (&**cause, *count))
        .collect();
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let shown = causes.iter().take(CAUSES_SHOWN_MAX);
    let texts: Vec<String> = shown
        .map(|(cause, count)| format!("{cause} {count}"))
        .collect();
    texts.join(", ")
}
