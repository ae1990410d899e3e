use std::collections::BTreeMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::Evacuation;
use dotterelhook_types::ids::FailureDomain;
use serde_json::json;

use super::plan::Plan;
use super::publish::report_as_accepted;
use super::publish::wait_until_in_force;
use super::publisher::Publisher;
use super::publisher::describe_refusal;
use super::read_config::read_config_within;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Requests the evacuation of a failure domain, or ends it with `--end`.
///
/// # Errors
/// An argument is invalid, the daemon knows no such failure domain, the log can't be read or written,
/// another operator was first, or the change is not in force everywhere when `--wait` times out.
pub(crate) async fn evacuate(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let timeout = arguments.timeout;
    let deadline = tokio::time::Instant::now() + timeout;
    let log = arguments.log()?;
    let is_end = arguments.flag("--end");
    let waits = arguments.flag("--wait");
    let daemon = arguments.optional_daemon()?;
    if waits && daemon.is_none() {
        return Err(Failure::usage("--wait needs --daemon"));
    }
    let domain = arguments.next_positional()?;
    let domain: FailureDomain = domain
        .ok_or_else(|| Failure::usage("a failure domain must be given; try --help"))?
        .parse()
        .map_err(Failure::usage)?;
    arguments.finish()?;
    if let Some(daemon) = daemon.as_ref().filter(|_| !is_end) {
        check_known(daemon, &domain).await?;
    }
    let state = read_config_within(&log, timeout).await?;
    let end = match plan_change(&state, &domain, is_end)? {
        Some(plan) => Publisher::new(&log, state, deadline).publish(&plan).await?,
        None => state.next_offset(),
    };
    match daemon.filter(|_| waits) {
        Some(daemon) => wait_until_in_force(&daemon, end, timeout)
            .await
            .map_err(report_as_accepted),
        None => Ok(()),
    }
}

/// Fails if no daemon is known in the failure domain, since a misspelled name would evacuate nothing.
async fn check_known(daemon: &JsonClient, domain: &FailureDomain) -> Result<(), Failure> {
    let members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
    let mut domains = members
        .iter()
        .map(|member| &member.heartbeat.failure_domain);
    if domains.any(|known| known == domain) {
        return Ok(());
    }
    Err(Failure::usage(format!(
        "no daemon is known in failure domain {domain}; nothing was changed"
    )))
}

/// Returns the change to append; `None` if the requested evacuation is already in force.
fn plan_change(
    state: &ConfigState,
    domain: &FailureDomain,
    is_end: bool,
) -> Result<Option<Plan>, Failure> {
    let path = Evacuation::path(domain);
    let in_force = state.evacuation_at(&path);
    let plan = match in_force {
        Some((offset, _)) if !is_end => {
            println!("{domain} is evacuated already, version {offset}");
            return Ok(None);
        }
        None if is_end => {
            let text = format!("no evacuation of {domain} is in force");
            return Err(Failure::Refused(text));
        }
        Some(_) => Plan::new(state, BTreeMap::new(), &[path]),
        None => {
            let body = json!(Evacuation {
                requested_at_unix_ms: unix_ms(),
            });
            Plan::new(state, BTreeMap::from([(path, body)]), &[])
        }
    };
    match plan.expected_refusals(state).first() {
        Some(refusal) => Err(Failure::Refused(describe_refusal(refusal))),
        None => Ok(Some(plan)),
    }
}

/// Returns the time of this host as Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
