use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_front::burn::BurnTracker;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::http::full_body;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_scheduler::RunLister;
use dotterelhook_state::config::EvacuationReport;
use dotterelhook_state::config::RunningAttempts;
use dotterelhook_types::ids::FailureDomain;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

const CONNECTIONS_MAX: usize = 256;

/// Serves health checks, metrics and operators' queries over HTTP.
pub(crate) struct AdminService {
    address: SocketAddr,
    failure_domain: FailureDomain,
}

impl AdminService {
    /// Creates the service of a daemon in the failure domain; `start` binds the address.
    pub(crate) fn new(address: SocketAddr, failure_domain: FailureDomain) -> Self {
        Self {
            address,
            failure_domain,
        }
    }
}

struct Admin {
    failure_domain: FailureDomain,
    config: Arc<dyn ConfigView>,
    membership: Arc<dyn MembershipView>,
    runs: Option<Arc<dyn RunLister>>,
    burn: Option<Arc<BurnTracker>>,
    metrics: Arc<Metrics>,
    draining: CancellationToken,
}

impl Admin {
    fn readiness(&self) -> Response<AnswerBody> {
        if self.draining.is_cancelled() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        } else if let Some(reason) = self.config.unready_reason() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
        } else {
            text_response(StatusCode::OK, "ready\n")
        }
    }

    fn metrics(&self) -> Response<AnswerBody> {
        match self.metrics.encode() {
            Ok(metrics) => text_response(StatusCode::OK, metrics),
            Err(_) => text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "metrics can't be written\n",
            ),
        }
    }

    fn burn(&self) -> Response<AnswerBody> {
        match &self.burn {
            Some(burn) => json_response(&burn.report()),
            None => json_response::<[(); 0]>(&[]),
        }
    }

    /// Returns the evacuations; a scheduler adds what runs in its failure domain.
    async fn evacuations(&self) -> Response<AnswerBody> {
        let mut reports = EvacuationReport::all(&self.config.current());
        if let Some(runs) = &self.runs {
            let mut running = RunningAttempts::default();
            for run in runs.list_runs().await {
                match run.is_checkpointable {
                    true => running.checkpointable += run.running,
                    false => running.other += run.running,
                }
            }
            let own = reports
                .iter_mut()
                .filter(|report| report.failure_domain == self.failure_domain);
            own.for_each(|report| report.set_running(running));
        }
        json_response(&reports)
    }

    async fn runs(&self) -> Response<AnswerBody> {
        match &self.runs {
            Some(runs) => json_response(&runs.list_runs().await),
            None => json_response::<[(); 0]>(&[]),
        }
    }
}

#[async_trait]
impl HttpHandler for Admin {
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "alive\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            "/members" => json_response(&self.membership.members()),
            "/runs" => self.runs().await,
            "/evacuations" => self.evacuations().await,
            "/burn" => self.burn(),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

fn text_response(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

fn json_response<T: Serialize + ?Sized>(value: &T) -> Response<AnswerBody> {
    let mut response = text_response(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    );
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

#[async_trait]
impl Service for AdminService {
    fn name(&self) -> &'static str {
        "admin"
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let registry = kernel.registry();
        let admin = Arc::new(Admin {
            failure_domain: self.failure_domain,
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            runs: registry.find::<dyn RunLister>(names::RUNS).ok(),
            burn: registry.find::<BurnTracker>(names::BURN).ok(),
            metrics: registry.find::<Metrics>(names::METRICS)?,
            draining: kernel.draining(),
        });
        HttpServer::bind("admin", self.address, CONNECTIONS_MAX, admin)
            .await?
            .spawn(kernel);
        Ok(())
    }
}
