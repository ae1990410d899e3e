use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::http::JsonAnswer;
use dotterelhook_borders::http::JsonClient;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RunId;
use hyper::Method;
use hyper::StatusCode;
use serde::Serialize;

use super::OtherDomains;
use super::RoomRequest;

/// Longer than the time after which a scheduler reports that an outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// The schedulers of the other failure domains, by their run API.
pub struct HttpDomains {
    membership: Arc<dyn MembershipView>,
    own_domain: FailureDomain,
}

impl HttpDomains {
    /// Creates the view of a scheduler in `own_domain`.
    pub fn new(membership: Arc<dyn MembershipView>, own_domain: FailureDomain) -> Self {
        Self {
            membership,
            own_domain,
        }
    }

    fn schedulers(&self) -> impl Iterator<Item = Member> {
        let members = self.membership.members().into_iter();
        members.filter(|member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect)
                && member.heartbeat.member.role.covers(Role::Scheduler)
        })
    }

    /// Sends a request to the schedulers of a failure domain in turn, until one answers with another
    /// status than 503.
    pub(crate) async fn send<T: Serialize + Sync>(
        &self,
        domain: &FailureDomain,
        method: &Method,
        path: &str,
        body: &T,
    ) -> Result<JsonAnswer, CallError> {
        let mut last = CallError::not_run(format!("no scheduler of {domain} answers"));
        let of_domain = |member: &Member| member.heartbeat.failure_domain == *domain;
        for scheduler in self.schedulers().filter(of_domain) {
            let client = JsonClient::new(scheduler.heartbeat.api_address, CALL_TIMEOUT);
            match client.send(method.clone(), path, body).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {}
                Ok(answer) => return Ok(answer),
                // An earlier call that may have run must not be reported as not run.
                Err(error) if last.verdict == Verdict::NotRun => last = error,
                Err(_) => {}
            }
        }
        Err(last)
    }
}

#[async_trait]
impl OtherDomains for HttpDomains {
    fn failure_domains(&self) -> Vec<FailureDomain> {
        let mut domains: Vec<FailureDomain> = self
            .schedulers()
            .map(|member| member.heartbeat.failure_domain)
            .filter(|domain| *domain != self.own_domain)
            .collect();
        domains.sort();
        domains.dedup();
        domains
    }

    async fn room(
        &self,
        domain: &FailureDomain,
        run: &RunId,
        request: &RoomRequest,
    ) -> Result<u64, CallError> {
        let path = format!("/room/{run}");
        self.send(domain, &Method::POST, &path, request)
            .await?
            .check_status()?
            .decode()
    }

    async fn deliver(&self, domain: &FailureDomain, moved: &MovedRun) -> Result<(), CallError> {
        let path = format!("/moved-runs/{}", moved.run);
        let answer = self.send(domain, &Method::POST, &path, moved).await?;
        answer.check_status().map(|_| ())
    }
}
