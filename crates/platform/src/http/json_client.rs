use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::read_body;

const ANSWER_MAX_BYTES: usize = 64 << 20;

/// An answer of the platform: status and JSON body.
#[derive(Clone, Debug)]
pub struct JsonAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, not yet decoded.
    pub body: Bytes,
}

impl JsonAnswer {
    /// Decodes the body.
    ///
    /// # Errors
    /// The call ran, but its answer can't be understood.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| CallError::may_have_run(format!("the answer can't be decoded: {e}")))
    }

    /// Returns an error unless the status says success.
    ///
    /// # Errors
    /// A 4xx or 503 answer did not run; any other failure may have run.
    pub fn check(self) -> Result<Self, CallError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let text = String::from_utf8_lossy(&self.body);
        let cause = format!("{}: {}", self.status, text.trim());
        if self.status.is_client_error() || self.status == StatusCode::SERVICE_UNAVAILABLE {
            Err(CallError::not_run(cause))
        } else {
            Err(CallError::may_have_run(cause))
        }
    }
}

/// Sends JSON requests to one address, with a time limit for each.
#[derive(Clone, Debug)]
pub struct JsonClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// Creates a client; nothing is connected yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            address,
            timeout,
            client,
        }
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    /// Returns whether the request may have run.
    pub async fn get(&self, path: &str) -> Result<JsonAnswer, CallError> {
        self.call(Method::GET, path, Bytes::new(), Duration::ZERO)
            .await
    }

    /// Sends a request that the receiver may hold for some time.
    ///
    /// # Errors
    /// Returns whether the request may have run.
    pub async fn get_held(&self, path: &str, hold: Duration) -> Result<JsonAnswer, CallError> {
        self.call(Method::GET, path, Bytes::new(), hold).await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    /// Returns whether the request may have run.
    pub async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<JsonAnswer, CallError> {
        let body = serde_json::to_vec(body)
            .map_err(|e| CallError::not_run(format!("the body can't be encoded: {e}")))?;
        self.call(method, path, body.into(), Duration::ZERO).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        hold: Duration,
    ) -> Result<JsonAnswer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| CallError::not_run(e.to_string()))?;
        match tokio::time::timeout(self.timeout + hold, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => {
                let limit_ms = (self.timeout + hold).as_millis();
                Err(CallError::may_have_run(format!(
                    "no answer within {limit_ms} ms"
                )))
            }
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<JsonAnswer, CallError> {
        let answer = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::not_run(format!("can't connect to {}", self.address))
            } else {
                CallError::may_have_run(format!("the connection to {} broke", self.address))
            }
        })?;
        let status = answer.status();
        let body = read_body(answer.into_body(), ANSWER_MAX_BYTES)
            .await
            .map_err(CallError::may_have_run)?;
        Ok(JsonAnswer { status, body })
    }
}
