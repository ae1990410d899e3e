use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::full_body;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use tokio_util::sync::CancellationToken;

use crate::config::ActiveConfig;
use crate::store_access::StoreHealth;

/// Answers the load balancer's readiness checks, and exports the metrics under `/metrics`.
pub struct ReadinessHandler {
    /// The active configuration.
    pub config: Arc<ActiveConfig>,
    /// The health of the store, as observed by this process.
    pub health: Arc<StoreHealth>,
    /// How long the host stays ready without an answer from the store.
    pub silence_max: Duration,
    /// Cancelled when the process starts to drain.
    pub draining: CancellationToken,
    /// The metrics to export.
    pub metrics: Arc<Metrics>,
}

impl ReadinessHandler {
    /// Returns why the host must get no new connections; `None` if the host is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.draining.is_cancelled() {
            Some("draining")
        } else if self.config.current().is_none() {
            Some("no configuration yet")
        } else if self.health.is_unreachable()
            && self.health.time_since_contact() > self.silence_max
        {
            Some("the store can't be reached")
        } else {
            None
        }
    }
}

#[async_trait]
impl HttpHandler for ReadinessHandler {
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody> {
        let (status, text) = if request.uri().path() == "/metrics" {
            match self.metrics.encode() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }
        } else {
            match self.unready_reason() {
                None => (StatusCode::OK, "ready\n".to_owned()),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
            }
        };
        let mut answer = Response::new(full_body(text));
        *answer.status_mut() = status;
        answer
    }
}
