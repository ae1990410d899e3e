use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_types::ids::RunId;

use crate::cli::Failure;

/// The runs that the schedulers report, and the schedulers whose runs are missing.
pub(super) struct CollectedRuns {
    /// One line for each run, in order of run id. The line of the shard's owner is preferred.
    pub(super) lines: Vec<RunSummary>,
    /// The schedulers that did not answer and are not listed as dead, each with the cause.
    pub(super) missing: Vec<String>,
}

impl CollectedRuns {
    /// Queries all schedulers among the members that the daemon lists.
    ///
    /// # Errors
    /// The daemon did not list its members. A scheduler without an answer is no error: `missing`
    /// names it, unless the daemon lists it as dead.
    pub(super) async fn fetch(daemon: &JsonClient, timeout: Duration) -> Result<Self, Failure> {
        let members: Vec<Member> = daemon.get("/members").await?.check_status()?.decode()?;
        let mut runs: BTreeMap<RunId, RunSummary> = BTreeMap::new();
        let mut missing = Vec::new();
        for member in members
            .iter()
            .filter(|member| member.heartbeat.member.role.covers(Role::Scheduler))
        {
            let client = JsonClient::new(member.heartbeat.admin_address, timeout);
            let answer = client
                .get("/runs")
                .await
                .and_then(|answer| answer.check_status());
            match answer.and_then(|answer| answer.decode::<Vec<RunSummary>>()) {
                Ok(lines) => lines
                    .into_iter()
                    .for_each(|line| insert_preferring_owner(&mut runs, line)),
                Err(_) if member.state == MemberState::Dead => {}
                Err(error) => missing.push(format!("{}: {error}", member.heartbeat.member)),
            }
        }
        Ok(Self {
            lines: runs.into_values().collect(),
            missing,
        })
    }

    /// Fails if `missing` names a scheduler.
    pub(super) fn check_complete(&self) -> Result<(), Failure> {
        if self.missing.is_empty() {
            return Ok(());
        }
        let missing = self.missing.join(", ");
        Err(Failure::Refused(format!(
            "incomplete, no answer from {missing}"
        )))
    }
}

/// Inserts a line unless the known one is more recent: the line of the shard that a run has left is out of
/// date, and other schedulers may lag behind the owner.
fn insert_preferring_owner(runs: &mut BTreeMap<RunId, RunSummary>, line: RunSummary) {
    let rank = |line: &RunSummary| (line.status != RunStatus::Moved, line.is_from_owner);
    let known = runs.get(&line.run);
    if known.is_none_or(|known| rank(&line) >= rank(known)) {
        runs.insert(line.run.clone(), line);
    }
}
