use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::config::EvacuationPhase;
use dotterelhook_state::config::EvacuationReport;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;

/// The status of an answer to an unknown path.
const NOT_FOUND: u16 = 404;

/// Returns the evacuations that the daemon has in force or saw end, each with what runs in its failure
/// domain, if a scheduler there answers.
///
/// # Errors
/// The daemon can't be queried. A daemon without the query has no evacuations.
pub(super) async fn collect_evacuations(
    daemon: &JsonClient,
    members: &[Member],
    timeout: Duration,
) -> Result<Vec<EvacuationReport>, CallError> {
    let mut reports = fetch(daemon).await?;
    let mut by_domain: BTreeMap<FailureDomain, &mut EvacuationReport> = reports
        .iter_mut()
        .filter(|report| report.phase == EvacuationPhase::Requested)
        .map(|report| (report.failure_domain.clone(), report))
        .collect();
    for member in members.iter().filter(|member| is_live_scheduler(member)) {
        let domain = &member.heartbeat.failure_domain;
        let Some(report) = by_domain.get_mut(domain) else {
            continue;
        };
        let client = JsonClient::new(member.heartbeat.admin_address, timeout);
        // A scheduler that does not answer leaves the numbers to another one, or unknown.
        let found = fetch(&client).await.unwrap_or_default();
        let own = found
            .into_iter()
            .find(|found| found.failure_domain == *domain);
        if let Some(running) = own.and_then(|own| own.running) {
            report.set_running(running);
            by_domain.remove(domain);
        }
    }
    Ok(reports)
}

async fn fetch(client: &JsonClient) -> Result<Vec<EvacuationReport>, CallError> {
    let answer = client.get("/evacuations").await?;
    if answer.status.as_u16() == NOT_FOUND {
        return Ok(Vec::new());
    }
    answer.check_status()?.decode()
}

fn is_live_scheduler(member: &Member) -> bool {
    let is_live = !matches!(member.state, MemberState::Dead | MemberState::Unreachable);
    is_live && member.heartbeat.member.role.covers(Role::Scheduler)
}
