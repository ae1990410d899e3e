use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_borders::http::read_body;
use dotterelhook_types::Verdict;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
const ANSWER_MAX_BYTES: usize = 1 << 16;

/// The outcome of a request, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// The complete and matching answer arrived.
    Answered,
    /// A successful answer arrived whose body belongs to another request.
    WrongAnswer,
    /// The request was refused, with the verdict that it did not run.
    NotRun,
    /// The request failed, without a verdict that excludes a run.
    MayHaveRun,
    /// The connection broke, or no complete answer arrived in time.
    #[strum(serialize = "nothing")]
    NoAnswer,
}

/// A client that sends non-idempotent requests and records the outcome of each.
#[derive(Clone, Debug, Default)]
pub struct RequestLoad {
    outcomes: Arc<Mutex<BTreeMap<Box<str>, RequestOutcome>>>,
}

impl RequestLoad {
    /// Sends requests to the fronts in turn, with a fixed pause, until the signal; then waits for
    /// the open requests.
    pub async fn run(
        &self,
        fronts: Vec<SocketAddr>,
        pause: Duration,
        mut is_over: watch::Receiver<bool>,
    ) {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build::<_, Full<Bytes>>(connector);
        let mut requests = tokio::task::JoinSet::new();
        for index in 0_usize.. {
            tokio::select! {
                _ = is_over.wait_for(|is_over| *is_over) => break,
                () = tokio::time::sleep(pause) => {}
            }
            let address = fronts[index % fronts.len()];
            let (load, client) = (self.clone(), client.clone());
            requests.spawn(async move { load.send(&client, address, index).await });
            while requests.try_join_next().is_some() {}
        }
        requests.join_all().await;
    }

    /// Returns the outcome of each request id so far.
    pub fn outcomes(&self) -> BTreeMap<Box<str>, RequestOutcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn send(
        &self,
        client: &Client<HttpConnector, Full<Bytes>>,
        address: SocketAddr,
        index: usize,
    ) {
        let id: Box<str> = format!("purchase-{index}").into();
        let exchange = exchange(client, address, &id);
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(RequestOutcome::NoAnswer);
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, outcome);
    }
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    id: &str,
) -> RequestOutcome {
    let request = Request::post(format!("http://{address}/booking/purchase"))
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(id.to_owned())));
    let Ok(request) = request else {
        return RequestOutcome::NoAnswer;
    };
    let Ok(answer) = client.request(request).await else {
        return RequestOutcome::NoAnswer;
    };
    let is_success = answer.status().is_success();
    let verdict = answer.headers().get(Verdict::HEADER).cloned();
    let Ok(body) = read_body(answer.into_body(), ANSWER_MAX_BYTES).await else {
        return RequestOutcome::NoAnswer;
    };
    match verdict.as_ref().and_then(|verdict| verdict.to_str().ok()) {
        Some("ran") if is_success && body.as_ref() == id.as_bytes() => RequestOutcome::Answered,
        Some("ran") if is_success => RequestOutcome::WrongAnswer,
        Some("not-run") => RequestOutcome::NotRun,
        _ => RequestOutcome::MayHaveRun,
    }
}
