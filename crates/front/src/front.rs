use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_types::ids::ServiceName;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::FrontSettings;
use crate::burn::BurnBoard;
use crate::limit::Admission;
use crate::metrics::FrontMetrics;
use crate::metrics::LossLog;
use crate::request::Cause;
use crate::request::Exchange;
use crate::request::RequestError;
use crate::request::RequestHead;
use crate::request::read_request_body;
use crate::request::refuse;
use crate::routing::Route;
use crate::routing::find_route;
use crate::target::TargetSet;

const SLOW: &str = "slow";

/// Takes callers' requests and passes them on to targets.
pub(crate) struct Front {
    pub(crate) settings: FrontSettings,
    pub(crate) config: Arc<dyn ConfigView>,
    pub(crate) targets: Arc<TargetSet>,
    pub(crate) memory: Arc<Semaphore>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) metrics: Arc<FrontMetrics>,
    pub(crate) burn: Arc<BurnBoard>,
    pub(crate) losses: LossLog,
}

#[async_trait]
impl HttpHandler for Front {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let config = self.config.current();
        let Some(route) = find_route(&config, request.uri().path()) else {
            let error = RequestError::not_run(Cause::NoService, "no service has this path");
            return self.lose(None, &error);
        };
        let started_at = Instant::now();
        self.metrics.count_request(&route.service);
        let result = self.exchange(&route, request).await;
        let latency_ms = started_at.elapsed().as_millis() as u64;
        match result {
            Ok(answer) => {
                self.count_answer(&route, &answer, latency_ms);
                answer
            }
            Err(error) => {
                if error.cause.counts_against_objective() {
                    let objective = route.settings.objective;
                    let cause = Some(error.cause.name());
                    self.burn.count(&route.service, objective, cause);
                }
                self.lose(Some(&route.service), &error)
            }
        }
    }
}

impl Front {
    async fn exchange(
        &self,
        route: &Route,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestError> {
        let _admitted = self
            .admission
            .try_admit(route.settings.priority)
            .ok_or_else(|| {
                let detail = "the front holds as many requests as this priority allows";
                RequestError::not_run(Cause::Priority, detail)
            })?;
        let targets = self.targets.service(&route.service).ok_or_else(|| {
            RequestError::not_run(Cause::NoTarget, "the service has no known target")
        })?;
        let head = RequestHead::of(&request);
        let body = read_request_body(
            request.into_body(),
            self.settings.body_max_bytes,
            self.settings.body_timeout,
            &self.memory,
        )
        .await?;
        Exchange {
            route: route.clone(),
            head,
            body,
            targets,
            metrics: Arc::clone(&self.metrics),
        }
        .run()
        .await
    }

    fn count_answer(&self, route: &Route, answer: &Response<AnswerBody>, latency_ms: u64) {
        let is_in_time = latency_ms <= route.settings.objective.latency_ms;
        self.metrics.count_answer(&route.service, is_in_time);
        let cause = match is_in_time {
            _ if answer.status().is_server_error() => Some(Cause::ServerError.name()),
            true => None,
            false => Some(SLOW),
        };
        self.burn
            .count(&route.service, route.settings.objective, cause);
    }

    fn lose(&self, service: Option<&ServiceName>, error: &RequestError) -> Response<AnswerBody> {
        self.metrics.count_loss(service, error.cause, error.verdict);
        self.losses.note(error);
        refuse(error)
    }
}
