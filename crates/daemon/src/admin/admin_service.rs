use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_front::burn::BurnTracker;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::http::full_body;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_scheduler::RunLedger;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

const CONNECTIONS_MAX: usize = 256;

/// Answers health checks, metrics and operators' questions.
pub(crate) struct AdminService {
    address: SocketAddr,
}

impl AdminService {
    /// Creates the service; nothing listens yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

struct Admin {
    config: Arc<dyn ConfigView>,
    membership: Arc<dyn MembershipView>,
    runs: Option<Arc<dyn RunLedger>>,
    burn: Option<Arc<BurnTracker>>,
    metrics: Arc<Metrics>,
    draining: CancellationToken,
}

impl Admin {
    fn readiness(&self) -> Response<AnswerBody> {
        if self.draining.is_cancelled() {
            text(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        } else if let Some(reason) = self.config.unready_reason() {
            text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
        } else {
            text(StatusCode::OK, "ready\n")
        }
    }

    fn metrics(&self) -> Response<AnswerBody> {
        match self.metrics.encode() {
            Ok(metrics) => text(StatusCode::OK, metrics),
            Err(_) => text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "metrics can't be written\n",
            ),
        }
    }

    fn burn(&self) -> Response<AnswerBody> {
        match &self.burn {
            Some(burn) => json(&burn.report()),
            None => json::<[(); 0]>(&[]),
        }
    }

    async fn runs(&self) -> Response<AnswerBody> {
        match &self.runs {
            Some(runs) => json(&runs.ledger().await),
            None => json::<[(); 0]>(&[]),
        }
    }
}

#[async_trait]
impl HttpHandler for Admin {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "alive\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            "/members" => json(&self.membership.members()),
            "/runs" => self.runs().await,
            "/burn" => self.burn(),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

fn text(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(text));
    *answer.status_mut() = status;
    answer
}

fn json<T: Serialize + ?Sized>(value: &T) -> Response<AnswerBody> {
    let mut answer = text(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    );
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

#[async_trait]
impl Service for AdminService {
    fn name(&self) -> &'static str {
        "admin"
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let registry = kernel.registry();
        let admin = Arc::new(Admin {
            config: registry.find::<dyn ConfigView>(names::CONFIG)?,
            membership: registry.find::<dyn MembershipView>(names::MEMBERSHIP)?,
            runs: registry.find::<dyn RunLedger>(names::RUNS).ok(),
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
