use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_types::ids::RunId;

use crate::cli::Failure;

/// The runs that the schedulers know, and which schedulers did not answer.
pub(super) struct RunLines {
    /// One line for each run, the owner's where there is one.
    pub(super) lines: Vec<RunSummary>,
    /// The schedulers without an answer, each with the cause.
    pub(super) missing: Vec<String>,
}

impl RunLines {
    /// Asks all schedulers that the daemon knows.
    pub(super) async fn read(daemon: &JsonClient, timeout: Duration) -> Result<Self, Failure> {
        let members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
        let mut found: BTreeMap<RunId, RunSummary> = BTreeMap::new();
        let mut missing = Vec::new();
        for member in members
            .iter()
            .filter(|m| m.heartbeat.member.role.covers(Role::Scheduler))
        {
            let client = JsonClient::new(member.heartbeat.admin_address, timeout);
            let answer = client
                .get("/runs")
                .await
                .and_then(|answer| answer.check_status());
            match answer.and_then(|answer| answer.decode::<Vec<RunSummary>>()) {
                Ok(lines) => lines.into_iter().for_each(|line| keep(&mut found, line)),
                Err(_) if member.state == MemberState::Dead => {}
                Err(error) => missing.push(format!("{}: {error}", member.heartbeat.member)),
            }
        }
        Ok(Self {
            lines: found.into_values().collect(),
            missing,
        })
    }

    /// Returns a failure if a scheduler did not answer.
    pub(super) fn check(&self) -> Result<(), Failure> {
        if self.missing.is_empty() {
            return Ok(());
        }
        let missing = self.missing.join(", ");
        Err(Failure::Refused(format!(
            "incomplete, no answer from {missing}"
        )))
    }
}

fn keep(found: &mut BTreeMap<RunId, RunSummary>, line: RunSummary) {
    let known = found.get(&line.run);
    if known.is_none_or(|known| line.is_from_owner || !known.is_from_owner) {
        found.insert(line.run.clone(), line);
    }
}
