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
use crate::forward::BufferedAnswer;
use crate::forward::ForwardReason;
use crate::forward::ForwardRequest;
use crate::forward::Forwarder;
use crate::headers;
use crate::idempotency::BeginOutcome;
use crate::idempotency::IdempotencyKey;
use crate::idempotency::KeyClaim;
use crate::idempotency::KeyTable;
use crate::idempotency::key_home;
use crate::limit::AdmissionControl;
use crate::metrics::FrontMetrics;
use crate::metrics::LossLog;
use crate::request::Cause;
use crate::request::Dispatch;
use crate::request::RequestBody;
use crate::request::RequestError;
use crate::request::RequestHead;
use crate::request::with_verdict;
use crate::routing::Route;
use crate::routing::find_route;
use crate::target::TargetSet;

/// A peer that does not answer within this time leaves open whether it knows the key.
const KEY_CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

type AnswerResult = Result<Response<AnswerBody>, RequestError>;

/// The state that all requests of a front share.
pub(crate) struct Front {
    pub(crate) settings: FrontSettings,
    pub(crate) config: Arc<dyn ConfigView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) targets: Arc<TargetSet>,
    pub(crate) body_memory: Arc<Semaphore>,
    pub(crate) admission: Arc<AdmissionControl>,
    pub(crate) metrics: Arc<FrontMetrics>,
    pub(crate) burn: Arc<BurnTracker>,
    pub(crate) loss_log: LossLog,
    pub(crate) forwarder: Forwarder,
    pub(crate) key_table: Arc<KeyTable>,
}

impl Front {
    /// Runs a caller's request, directly or through one other front.
    ///
    /// A request with an idempotency key runs at the key's home front.
    pub(crate) async fn run_request(
        self: &Arc<Self>,
        route: Route,
        head: RequestHead,
        body: RequestBody,
    ) -> AnswerResult {
        let timeout = Duration::from_millis(route.settings.timeout_ms);
        let deadline = Instant::now() + timeout;
        let Some(key) = idempotency_key(&route.service, &head) else {
            return self.run_or_forward(&route, &head, &body, deadline).await;
        };
        match self.remote_key_home(&key) {
            None => {
                let answer = self.run_keyed(key, route, head, body, deadline).await?;
                let verdict = answer.verdict;
                let answer = BufferedAnswer::clone(&answer).into_result()?;
                Ok(with_verdict(answer, verdict))
            }
            Some(home) => {
                let reason = ForwardReason::KeyHome;
                let timeout_ms = time_left_ms(deadline);
                let request = ForwardRequest::from_parts(
                    reason,
                    &route.service,
                    &head,
                    &body.bytes,
                    timeout_ms,
                );
                let address = home.heartbeat.peer_address;
                let answer = self
                    .forwarder
                    .forward_to_key_home(address, &request)
                    .await?;
                Ok(with_verdict(answer.into_result()?, Verdict::Ran))
            }
        }
    }

    /// Runs a request that another front forwarded; the request is not forwarded again.
    ///
    /// # Errors
    /// The request was refused, or its answer was lost.
    pub(crate) async fn run_forwarded(
        self: &Arc<Self>,
        request: ForwardRequest,
    ) -> Result<BufferedAnswer, RequestError> {
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        let reason = request.reason;
        let path = request.path_and_query.split('?').next().unwrap_or("/");
        let route = find_route(&self.config.current(), path)
            .filter(|route| route.service == request.service)
            .ok_or_else(|| RequestError::not_run(Cause::NoService, "no service has this path"))?;
        let _permit = self.admit(&route)?;
        let (head, body) = request.into_parts()?;
        match reason {
            ForwardReason::OtherDomain => {
                let answer = self
                    .run_in_own_domain(&route, &head, &body, deadline)
                    .await?;
                BufferedAnswer::read(answer).await
            }
            ForwardReason::KeyHome => {
                let key = idempotency_key(&route.service, &head).ok_or_else(|| {
                    RequestError::not_run(Cause::RequestInvalid, "the request has no key")
                })?;
                // Membership views of the two fronts may differ; only one home may run the request.
                if self.remote_key_home(&key).is_some() {
                    let detail = "this front is not the key's home";
                    return Err(RequestError::not_run(Cause::KeyHomeUnknown, detail));
                }
                let answer = self.run_keyed(key, route, head, body, deadline).await?;
                Ok(BufferedAnswer::clone(&answer))
            }
        }
    }

    /// Admits a request of the route's priority; dropping the permit releases its place.
    pub(crate) fn admit(
        &self,
        route: &Route,
    ) -> Result<crate::limit::AdmissionPermit, RequestError> {
        let admitted = self.admission.try_admit(route.settings.priority);
        admitted.ok_or_else(|| {
            let detail = "the front holds as many requests as this priority allows";
            RequestError::not_run(Cause::Priority, detail)
        })
    }

    /// Runs the request of an idempotency key at most once.
    ///
    /// A task of its own completes the request even if the caller disconnects.
    async fn run_keyed(
        self: &Arc<Self>,
        key: IdempotencyKey,
        route: Route,
        head: RequestHead,
        body: RequestBody,
        deadline: Instant,
    ) -> Result<Arc<BufferedAnswer>, RequestError> {
        let fingerprint = fingerprint(&head, &body);
        let in_flight_key = match self.key_table.begin(key.clone(), fingerprint)? {
            BeginOutcome::Answered(answer) => return Ok(answer),
            BeginOutcome::First(in_flight_key) => in_flight_key,
        };
        let claim = KeyClaim {
            service: key.service,
            key: key.key,
            fingerprint,
            owner: self.key_table.owner(),
        };
        let front = Arc::clone(self);
        let running = tokio::spawn(async move {
            let answer = front
                .claim_and_run(claim, &route, &head, &body, deadline)
                .await;
            let answer = answer.unwrap_or_else(|error| BufferedAnswer::from_error(&error));
            let answer = Arc::new(answer);
            in_flight_key.complete(&answer);
            answer
        });
        running
            .await
            .map_err(|error| RequestError::may_have_run(Cause::ConnectionBroken, error.to_string()))
    }

    /// Claims a key at the other fronts, then runs its request unless one of them knows the key.
    async fn claim_and_run(
        &self,
        claim: KeyClaim,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> Result<BufferedAnswer, RequestError> {
        let claimed = self
            .forwarder
            .claim_key(&claim, KEY_CLAIM_TIMEOUT, deadline);
        if let Some(known) = claimed.await? {
            return Ok(known);
        }
        let answer = self.run_or_forward(route, head, body, deadline).await?;
        BufferedAnswer::read(answer).await
    }

    async fn run_or_forward(
        &self,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> AnswerResult {
        let error = match self.run_in_own_domain(route, head, body, deadline).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        if error.verdict != Verdict::NotRun || !error.cause.allows_forwarding() {
            return Err(error);
        }
        let reason = ForwardReason::OtherDomain;
        let timeout_ms = time_left_ms(deadline);
        let request =
            ForwardRequest::from_parts(reason, &route.service, head, &body.bytes, timeout_ms);
        let Some(forwarded) = self.forwarder.forward_to_other_domain(request).await else {
            return Err(error);
        };
        self.metrics.count_forward(&route.service, error.cause);
        Ok(with_verdict(forwarded?.into_result()?, Verdict::Ran))
    }

    async fn run_in_own_domain(
        &self,
        route: &Route,
        head: &RequestHead,
        body: &RequestBody,
        deadline: Instant,
    ) -> AnswerResult {
        let targets = self.targets.service(&route.service).ok_or_else(|| {
            RequestError::not_run(Cause::NoTarget, "the service has no known target")
        })?;
        let dispatch = Dispatch {
            route,
            head,
            body,
            targets: &targets,
            metrics: &self.metrics,
            deadline,
        };
        dispatch.run().await
    }

    /// Returns the key's home front, or `None` if the home is this front.
    fn remote_key_home(&self, key: &IdempotencyKey) -> Option<Member> {
        let own_id = self.membership.own_id();
        let fronts = self.membership.live_peers(Role::Front);
        let home = key_home(key, &fronts).filter(|front| front.heartbeat.member != own_id);
        home.cloned()
    }
}

fn idempotency_key(service: &ServiceName, head: &RequestHead) -> Option<IdempotencyKey> {
    let key = head.headers.get(headers::IDEMPOTENCY_KEY)?;
    Some(IdempotencyKey {
        service: service.clone(),
        key: String::from_utf8_lossy(key.as_bytes()).into(),
    })
}

/// Hashes a request, so that a key reused for another request can be detected.
fn fingerprint(head: &RequestHead, body: &RequestBody) -> u64 {
    let line = format!("{} {} ", head.method, head.path_and_query);
    rapidhash_v3(line.as_bytes()) ^ rapidhash_v3(&body.bytes).rotate_left(1)
}

fn time_left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    left.as_millis() as u64
}
