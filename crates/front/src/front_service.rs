use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_kernel::names;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_platform::http::read_body;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::request::Exchange;
use crate::request::RequestHead;
use crate::request::refuse;
use crate::routing::find_route;
use crate::target::TargetSet;

const TARGETS_REFRESH: Duration = Duration::from_millis(200);

/// What the front needs to know.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Where callers connect.
    pub listen_address: SocketAddr,
    /// The most connections of callers at once.
    pub connections_max: usize,
    /// The largest request body.
    pub body_max_bytes: usize,
    /// The time within which a whole request body must arrive.
    pub body_timeout: Duration,
    /// The front's own failure domain.
    pub failure_domain: FailureDomain,
}

/// Takes callers' requests and passes them on to targets.
pub struct FrontService {
    settings: FrontSettings,
}

impl FrontService {
    /// Creates the service; nothing listens yet.
    pub fn new(settings: FrontSettings) -> Self {
        Self { settings }
    }
}

struct Front {
    settings: FrontSettings,
    config: Arc<dyn ConfigView>,
    targets: Arc<TargetSet>,
}

#[async_trait]
impl HttpHandler for Front {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let config = self.config.current();
        let Some(route) = find_route(&config, request.uri().path()) else {
            let error = CallError::not_run("no service has this path");
            return refuse(StatusCode::NOT_FOUND, &error);
        };
        let head = RequestHead::of(&request);
        let read = read_body(request.into_body(), self.settings.body_max_bytes);
        let body = match tokio::time::timeout(self.settings.body_timeout, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => {
                let error = CallError::not_run(cause);
                return refuse(StatusCode::PAYLOAD_TOO_LARGE, &error);
            }
            Err(_) => {
                let error = CallError::not_run("the request body did not arrive in time");
                return refuse(StatusCode::REQUEST_TIMEOUT, &error);
            }
        };
        let targets = Arc::clone(&self.targets);
        Exchange {
            route,
            head,
            body,
            targets,
        }
        .run()
        .await
    }
}

#[async_trait]
impl Service for FrontService {
    fn name(&self) -> &'static str {
        "front"
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let hosts = kernel.registry().find::<dyn HostView>(names::HOSTS)?;
        let targets = Arc::new(TargetSet::new(self.settings.failure_domain.clone()));
        let front = Arc::new(Front {
            config: kernel.registry().find::<dyn ConfigView>(names::CONFIG)?,
            targets: Arc::clone(&targets),
            settings: self.settings,
        });
        let address = front.settings.listen_address;
        let connections_max = front.settings.connections_max;
        HttpServer::bind("front", address, connections_max, front)
            .await?
            .spawn(kernel);
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            while !stopping.is_cancelled() {
                targets.update(&hosts.current());
                tokio::time::sleep(TARGETS_REFRESH).await;
            }
        });
        Ok(())
    }
}
