use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_types::ids::ServiceName;
use hyper::Request;
use hyper::Response;
use tokio::time::Instant;

use crate::front::Front;
use crate::request::Cause;
use crate::request::RequestError;
use crate::request::RequestHead;
use crate::request::error_answer;
use crate::request::read_request_body;
use crate::routing::Route;
use crate::routing::find_route;

/// The label under which late answers count as bad; [`Cause`] has no variant for them.
const SLOW_CAUSE: &str = "slow";

/// Serves callers' HTTP requests and records each result in metrics and error budgets.
pub(crate) struct FrontHandler {
    pub(crate) front: Arc<Front>,
}

#[async_trait]
impl HttpHandler for FrontHandler {
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody> {
        let config = self.front.config.current();
        let Some(route) = find_route(&config, request.uri().path()) else {
            let error = RequestError::not_run(Cause::NoService, "no service has this path");
            return self.answer_error(None, &error);
        };
        let started_at = Instant::now();
        self.front.metrics.count_request(&route.service);
        let result = self.serve(&route, request).await;
        let latency_ms = started_at.elapsed().as_millis() as u64;
        match result {
            Ok(answer) => {
                self.count_answer(&route, &answer, latency_ms);
                answer
            }
            Err(error) => {
                if error.cause.counts_against_objective() {
                    let cause = Some(error.cause.name());
                    let objective = route.settings.objective;
                    self.front.burn.record(&route.service, objective, cause);
                }
                self.answer_error(Some(&route.service), &error)
            }
        }
    }
}

impl FrontHandler {
    async fn serve(
        &self,
        route: &Route,
        request: Request<ClientBody>,
    ) -> Result<Response<AnswerBody>, RequestError> {
        let _permit = self.front.admit(route)?;
        let head = RequestHead::from_request(&request);
        let settings = &self.front.settings;
        let body = read_request_body(
            request.into_body(),
            settings.body_max_bytes,
            settings.body_timeout,
            &self.front.body_memory,
        )
        .await?;
        self.front.run_request(route.clone(), head, body).await
    }

    fn count_answer(&self, route: &Route, answer: &Response<AnswerBody>, latency_ms: u64) {
        let is_in_time = latency_ms <= route.settings.objective.latency_ms;
        self.front.metrics.count_answer(&route.service, is_in_time);
        let cause = match is_in_time {
            _ if answer.status().is_server_error() => Some(Cause::ServerError.name()),
            true => None,
            false => Some(SLOW_CAUSE),
        };
        let objective = route.settings.objective;
        self.front.burn.record(&route.service, objective, cause);
    }

    fn answer_error(
        &self,
        service: Option<&ServiceName>,
        error: &RequestError,
    ) -> Response<AnswerBody> {
        let metrics = &self.front.metrics;
        metrics.count_loss(service, error.cause, error.verdict);
        self.front.loss_log.log(error);
        error_answer(error)
    }
}
