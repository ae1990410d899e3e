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

/// What a caller was told of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Told {
    /// The whole answer came.
    Answered,
    /// An answer came whose body was not the one asked for.
    WrongAnswer,
    /// The request was refused and did not run.
    NotRun,
    /// The request failed and may have run.
    MayHaveRun,
    /// The connection broke or the answer did not come in time.
    Nothing,
}

/// Sends requests that must not run twice, and keeps what was told of each.
#[derive(Clone, Debug, Default)]
pub struct RequestLoad {
    told: Arc<Mutex<BTreeMap<Box<str>, Told>>>,
}

impl RequestLoad {
    /// Sends requests at a steady rate until the signal says stop, then waits for all answers.
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

    /// Returns what was told of each request id.
    pub fn told(&self) -> BTreeMap<Box<str>, Told> {
        self.told
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
        let told = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(Told::Nothing);
        self.told
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, told);
    }
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    id: &str,
) -> Told {
    let request = Request::post(format!("http://{address}/booking/purchase"))
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(id.to_owned())));
    let Ok(request) = request else {
        return Told::Nothing;
    };
    let Ok(answer) = client.request(request).await else {
        return Told::Nothing;
    };
    let is_success = answer.status().is_success();
    let verdict = answer.headers().get(Verdict::HEADER).cloned();
    let Ok(body) = read_body(answer.into_body(), ANSWER_MAX_BYTES).await else {
        return Told::Nothing;
    };
    match verdict.as_ref().and_then(|verdict| verdict.to_str().ok()) {
        Some("ran") if is_success && body.as_ref() == id.as_bytes() => Told::Answered,
        Some("ran") if is_success => Told::WrongAnswer,
        Some("not-run") => Told::NotRun,
        _ => Told::MayHaveRun,
    }
}
