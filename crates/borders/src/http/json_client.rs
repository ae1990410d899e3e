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

/// The answer to a [`JsonClient`] call: status and JSON body.
#[derive(Clone, Debug)]
pub struct JsonAnswer {
    /// The HTTP status, not yet checked for success.
    pub status: StatusCode,
    /// The body, not yet decoded.
    pub body: Bytes,
}

impl JsonAnswer {
    /// Decodes the JSON body, regardless of the status.
    ///
    /// # Errors
    /// The body does not decode as `T`. The call may have run.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| CallError::may_have_run(format!("the answer can't be decoded: {e}")))
    }

    /// Returns the answer if its status is a success.
    ///
    /// # Errors
    /// The status is not a success. After a 4xx or 503 status the call did not run. After any other
    /// status the call may have run.
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

/// A client that sends JSON requests to one address, with a time limit per request.
#[derive(Clone, Debug)]
pub struct JsonClient {
    timeout: Duration,
    client: Arc<HttpClient>,
}

impl JsonClient {
    /// Creates a client without open connections. Requests connect on demand.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            timeout,
            client: Arc::new(HttpClient::new(address)),
        }
    }

    /// Sends a GET request without a body.
    ///
    /// # Errors
    /// The request failed or timed out. The verdict states whether the request may have run.
    pub async fn get(&self, path: &str) -> Result<JsonAnswer, CallError> {
        self.call(Method::GET, path, Bytes::new(), Duration::ZERO)
            .await
    }

    /// Sends a long-poll GET request: the receiver may delay its answer by up to `hold`, which
    /// extends the time limit.
    ///
    /// # Errors
    /// The request failed or timed out. The verdict states whether the request may have run.
    pub async fn get_long_poll(&self, path: &str, hold: Duration) -> Result<JsonAnswer, CallError> {
        self.call(Method::GET, path, Bytes::new(), hold).await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    /// The request failed or timed out. The verdict states whether the request may have run.
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
