use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use hyper::Method;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::HttpAnswer;
use super::HttpCall;
use super::HttpClient;

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
    pub fn check_status(self) -> Result<Self, CallError> {
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
    timeout: Duration,
    client: Arc<HttpClient>,
}

impl JsonClient {
    /// Creates a client; nothing is connected yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            timeout,
            client: Arc::new(HttpClient::new(address)),
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
    pub async fn get_long_poll(&self, path: &str, hold: Duration) -> Result<JsonAnswer, CallError> {
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
        let call = HttpCall {
            method,
            body,
            ..HttpCall::get(path, self.timeout + hold)
        };
        let HttpAnswer { status, body, .. } = self.client.call(call).await?;
        Ok(JsonAnswer { status, body })
    }
}
