use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::CallError;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::read_body;

/// The limit on the body of an answer.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// The limit on connections in the pool. A pooled connection has no call in flight.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// An HTTP request with its time limit.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// The HTTP method.
    pub method: Method,
    /// The request target: path and query.
    pub target: Box<str>,
    /// The headers in addition to `Host` and `Content-Type`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The value of `Content-Type`, sent even with an empty body.
    pub content_type: &'static str,
    /// The body; empty for none.
    pub body: Bytes,
    /// The time limit for the call, from connecting to the end of the answer.
    pub timeout: Duration,
}

impl HttpCall {
    /// Creates a GET call without a body.
    pub fn get(target: impl Into<Box<str>>, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: Vec::new(),
            content_type: "application/json",
            body: Bytes::new(),
            timeout,
        }
    }

    /// Creates a POST call with a body of type `application/json`.
    pub fn post(target: impl Into<Box<str>>, body: impl Into<Bytes>, timeout: Duration) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(target, timeout)
        }
    }
}

/// The answer to a call, with its complete body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status, not yet checked for success.
    pub status: StatusCode,
    /// All headers of the answer.
    pub headers: HeaderMap,
    /// The body, not yet decoded.
    pub body: Bytes,
}

/// An HTTP/1 client of one address with a pool of keep-alive connections.
///
/// A connection is closed if its call times out, because the peer may never answer over it again.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpClient {
    /// Creates a client without open connections. Calls connect on demand.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns the address to which calls are sent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call over a pooled or a new connection.
    ///
    /// # Errors
    /// The call failed or timed out. The verdict states whether the call may have run.
    pub async fn call(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let timeout = call.timeout;
        let timed_out = || format!("{} gave no answer within {timeout:?}", self.address);
        let deadline = tokio::time::Instant::now() + timeout;
        let connected = tokio::time::timeout_at(deadline, self.acquire_connection()).await;
        let mut connection = connected.map_err(|_| CallError::not_run(timed_out()))??;
        let request = self.build_request(call)?;
        let answer = tokio::time::timeout_at(deadline, exchange(&mut connection, request)).await;
        let answer = answer.map_err(|_| CallError::may_have_run(timed_out()))??;
        self.return_to_pool(connection);
        Ok(answer)
    }

    /// Makes one call over a pooled connection and never opens a new one.
    ///
    /// The call therefore reaches the same process that answered the last call over the connection.
    ///
    /// # Errors
    /// As for [`Self::call`]. Without a pooled connection the verdict is
    /// [`NotRun`](dotterelhook_types::Verdict::NotRun).
    pub async fn call_over_idle(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let timeout = call.timeout;
        let not_connected = || CallError::not_run("no connection is open");
        let mut connection = self.pop_idle().ok_or_else(not_connected)?;
        let request = self.build_request(call)?;
        let answer = tokio::time::timeout(timeout, exchange(&mut connection, request)).await;
        let timed_out = || format!("{} gave no answer within {timeout:?}", self.address);
        let answer = answer.map_err(|_| CallError::may_have_run(timed_out()))??;
        self.return_to_pool(connection);
        Ok(answer)
    }

    /// Closes the pooled connections. Calls in flight continue.
    pub fn close(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn build_request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(&*call.target)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, call.content_type)
            .body(Full::new(call.body))
            .map_err(|error| CallError::not_run(error.to_string()))?;
        request.headers_mut().extend(call.headers);
        Ok(request)
    }

    /// Returns a pooled connection, or opens one if the pool has no usable connection.
    async fn acquire_connection(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        while let Some(mut idle) = self.pop_idle() {
            if !idle.is_closed() && idle.ready().await.is_ok() {
                return Ok(idle);
            }
        }
        let connect_error = |error: &dyn std::fmt::Display| {
            CallError::not_run(format!("can't connect to {}: {error}", self.address))
        };
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| CallError {
                is_without_listener: error.kind() == ErrorKind::ConnectionRefused,
                ..connect_error(&error)
            })?;
        // Nagle's algorithm would delay small calls until earlier ones are acknowledged.
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(&error))?;
        tokio::spawn(async move {
            // The call in flight returns the error of a broken connection.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    /// Returns a connection to the pool; drops it if it is closed or the pool is full.
    fn return_to_pool(&self, connection: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_CONNECTIONS_MAX && !connection.is_closed() {
            idle.push(connection);
        }
    }
}

async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<HttpAnswer, CallError> {
    let answer = connection.send_request(request).await.map_err(|error| {
        if error.is_canceled() {
            CallError::not_run("the connection closed before the call was sent")
        } else {
            CallError::may_have_run(format!("the connection broke: {error}"))
        }
    })?;
    let (head, body) = answer.into_parts();
    let body = read_body(body, ANSWER_MAX_BYTES)
        .await
        .map_err(CallError::may_have_run)?;
    Ok(HttpAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
