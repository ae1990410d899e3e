use std::sync::Arc;
use std::time::Duration;

use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ServiceName;
use hyper::Response;
use rapidhash::v3::rapidhash_v3;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::FrontSettings;
use crate::burn::BurnTracker;
use crate::forward::ForwardAnswer;
use crate::forward::ForwardReason;
use crate::forward::ForwardRequest;
use crate::forward::Forwarder;
use crate::headers;
use crate::idempotency::KeyNote;
use crate::idempotency::KeyTable;
use crate::idempotency::Repeat;
use crate::idempotency::RequestKey;
use crate::idempotency::home;
use crate::limit::Admission;
use crate::metrics::FrontMetrics;
use crate::metrics::LossLog;
use crate::request::Cause;
use crate::request::Exchange;
use crate::request::RequestBody;
use crate::request::RequestError;
use crate::request::RequestHead;
use crate::request::with_verdict;
use crate::routing::Route;
use crate::routing::find_route;
use crate::target::TargetSet;

/// A front that doesn't answer within this time can't say whether it knows a key.
const NOTE_TIMEOUT: Duration = Duration::from_millis(300);

type Answer = Result<Response<AnswerBody>, RequestError>;

/// What all requests of the front share.
pub(crate) struct Front {
    pub(crate) settings: FrontSettings,
    pub(crate) config: Arc<dyn ConfigView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) targets: Arc<TargetSet>,
    pub(crate) memory: Arc<Semaphore>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) metrics: Arc<FrontMetrics>,
    pub(crate) burn: Arc<BurnTracker>,
    pub(crate) losses: LossLog,
    pub(crate) forwarder: Forwarder,
    pub(crate) keys: Arc<KeyTable>,
}

impl Front {
    /// Runs a caller's whole request, here or through one other front.
    pub(crate) async fn run(
        self: &Arc<Self>,
        route: Route,
        head: RequestHead,
        body: RequestBody,
    ) -> Answer {
        let timeout = Duration::from_millis(route.settings.timeout_ms);
        let deadline = Instant::now() + timeout;
        let Some(key) = request_key(&route.service, &head) else {
            return self.run_anywhere(&route, &head, &body, deadline).await;
        };
        match self.key_home(&key) {
            None => {
                let answer = self.run_keyed(key, route, head, body, deadline).await?;
                let verdict = answer.verdict;
                let answer = ForwardAnswer::clone(&answer).into_result()?;
                Ok(with_verdict(answer, verdict))
            }
            Some(home) => {
                let reason = ForwardReason::KeyHome;
                let timeout_ms = time_left_ms(deadline);
                let request =
                    ForwardRequest::of(reason, &route.service, &head, &body.bytes, timeout_ms);
                let address = home.heartbeat.peer_address;
                let answer = self.forwarder.to_key_home(address, &request).await?;
                Ok(with_verdict(answer.into_result()?, Verdict::Ran))
            }
        }
    }

    /// Runs a request that another front forwarded.
    ///
    /// # Errors
    /// The request was refused or lost.
    pub(crate) async fn run_forwarded(
        self: &Arc<Self>,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, RequestError> {
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let reason = request.reason;
        let path = request.path_and_query.split('?').next().unwrap_or("/");
        let route = find_route(&self.config.current(), path)
            .filter(|route| route.service == request.service)
            .ok_or_else(|| RequestError::not_run(Cause::NoService, "no service has this path"))?;
        let _admitted = self.admit(&route)?;
        let (head, body) = request.into_parts()?;
        match reason {
            ForwardReason::OtherDomain => {
                let answer = self.run_here(&route, &head, &body, deadline).await?;
                ForwardAnswer::read(answer).await
            }
            ForwardReason::KeyHome => {
                let key = request_key(&route.service, &head).ok_or_else(|| {
                    RequestError::not_run(Cause::RequestInvalid, "the request has no key")
                })?;
                // The views of the two fronts may differ; only one home may run the request.
                if self.key_home(&key).is_some() {
                    let detail = "this front is not the key's home";
                    return Err(RequestError::not_run(Cause::KeyHomeUnknown, detail));
                }
                let answer = self.run_keyed(key, route, head, body, deadline).await?;
                Ok(ForwardAnswer::clone(&answer))
            }
        }
    }

    /// Admits a request, unless its priority's limit is reached.
    pub(crate) fn admit(&self, route: &Route) -> Result<crate::limit::Admitted, RequestError> {
        let admitted = self.admission.try_admit(route.settings.priority);
        admitted.ok_or_else(|| {
            let detail = "the front holds as many requests as this priority allows";
            RequestError::not_run(Cause::Priority, detail)
        })
    }

    /// Runs a key's request once, to its end even if the caller leaves.
    async fn run_keyed(
        self: &Arc<Self>,
        key: RequestKey,
        route: Route,
        head: RequestHead,
        body: RequestBody,
        deadline: Instant,
    ) -> Result<Arc<ForwardAnswer>, RequestError> {
        let fingerprint = fingerprint(&head, &body);
        let begun = match self.keys.begin(key.clone(), fingerprint)? {
            Repeat::Answered(answer) => return Ok(answer),
            Repeat::First(begun) => begun,
        };
        let note = KeyNote {
            service: key.service,
            key: key.key,
            fingerprint,
            owner: self.keys.owner(),
        };
        let front = Arc::clone(self);
        let running = tokio::spawn(async move {
            let answer = front.run_noted(note, &route, &head, &body, deadline).await;
            let answer = answer.unwrap_or_else(|error| ForwardAnswer::failed(&error));
            let answer = Arc::new(answer);
            begun.end(&answer);
            answer
        });
        running
            .await
            .map_err(|error| RequestError::may_have_run(Cause::ConnectionBroken, error.to_string()))
    }

    /// Notes a key at the other fronts, then runs its request unless one of them knows it.
    async fn run_noted(
        &self,
        note: KeyNote,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> Result<ForwardAnswer, RequestError> {
        if let Some(known) = self.forwarder.note_key(&note, NOTE_TIMEOUT).await? {
            return Ok(known);
        }
        let answer = self.run_anywhere(route, head, body, deadline).await?;
        ForwardAnswer::read(answer).await
    }

    async fn run_anywhere(
        &self,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> Answer {
        let error = match self.run_here(route, head, body, deadline).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if error.verdict != Verdict::NotRun || !error.cause.may_differ_elsewhere() {
            return Err(error);
        }
        let reason = ForwardReason::OtherDomain;
        let timeout_ms = time_left_ms(deadline);
        let request = ForwardRequest::of(reason, &route.service, head, &body.bytes, timeout_ms);
        let Some(forwarded) = self.forwarder.to_other_domain(request).await else {
            return Err(error);
        };
        self.metrics.count_forward(&route.service, error.cause);
        Ok(with_verdict(forwarded?.into_result()?, Verdict::Ran))
    }

    async fn run_here(
        &self,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> Answer {
        let targets = self.targets.service(&route.service).ok_or_else(|| {
            RequestError::not_run(Cause::NoTarget, "the service has no known target")
        })?;
        let exchange = Exchange {
            route,
            head,
            body,
            targets: &targets,
            metrics: &self.metrics,
            deadline,
        };
        exchange.run().await
    }

    /// Returns the key's home if that is another front.
    fn key_home(&self, key: &RequestKey) -> Option<Member> {
        let own_id = self.membership.own_id();
        let fronts = self.membership.live_peers(Role::Front);
        let home = home(key, &fronts).filter(|front| front.heartbeat.member != own_id);
        home.cloned()
    }
}

fn request_key(service: &ServiceName, head: &RequestHead) -> Option<RequestKey> {
    let key = head.headers.get(headers::IDEMPOTENCY_KEY)?;
    Some(RequestKey {
        service: service.clone(),
        key: String::from_utf8_lossy(key.as_bytes()).into(),
    })
}

/// Tells a repeat from another request under the same key.
fn fingerprint(head: &RequestHead, body: &RequestBody) -> u64 {
    let line = format!("{} {} ", head.method, head.path_and_query);
    rapidhash_v3(line.as_bytes()) ^ rapidhash_v3(&body.bytes).rotate_left(1)
}

fn time_left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    left.as_millis() as u64
}
