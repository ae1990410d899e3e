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

/// The largest answer that is read.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Connections that are kept open without a call in flight.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// One HTTP call.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// Headers beside `Host` and `Content-Type`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The content type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
    /// The longest wait for the answer.
    pub timeout: Duration,
}

impl HttpCall {
    /// Creates a call without a body.
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

    /// Creates a call that posts a JSON body.
    pub fn post(target: impl Into<Box<str>>, body: impl Into<Bytes>, timeout: Duration) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(target, timeout)
        }
    }
}

/// The answer to a call, with its whole body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, not yet decoded.
    pub body: Bytes,
}

/// Sends calls to one address over connections that are kept open between calls.
///
/// A connection whose call got no answer in time is closed, since it may be silent for good.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl HttpClient {
    /// Creates a client; nothing is connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call.
    ///
    /// # Errors
    /// Returns whether the call may have run.
    pub async fn call(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let timeout = call.timeout;
        let late = || format!("{} gave no answer within {timeout:?}", self.address);
        let deadline = tokio::time::Instant::now() + timeout;
        let connected = tokio::time::timeout_at(deadline, self.connection()).await;
        let mut connection = connected.map_err(|_| CallError::not_run(late()))??;
        let request = self.request(call)?;
        let answer = tokio::time::timeout_at(deadline, exchange(&mut connection, request)).await;
        let answer = answer.map_err(|_| CallError::may_have_run(late()))??;
        self.keep(connection);
        Ok(answer)
    }

    /// Makes one call over a connection that is open already.
    ///
    /// The process at the other end is then the one that answered the last call over it.
    ///
    /// # Errors
    /// As for [`Self::call`]; without an open connection the call did not run.
    pub async fn call_over_idle(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let timeout = call.timeout;
        let none = || CallError::not_run("no connection is open");
        let mut connection = self.take_idle().ok_or_else(none)?;
        let request = self.request(call)?;
        let answer = tokio::time::timeout(timeout, exchange(&mut connection, request)).await;
        let late = || format!("{} gave no answer within {timeout:?}", self.address);
        let answer = answer.map_err(|_| CallError::may_have_run(late()))??;
        self.keep(connection);
        Ok(answer)
    }

    /// Closes the connections without a call in flight.
    pub fn close(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
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

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        while let Some(mut idle) = self.take_idle() {
            if !idle.is_closed() && idle.ready().await.is_ok() {
                return Ok(idle);
            }
        }
        let failed = |error: &dyn std::fmt::Display| {
            CallError::not_run(format!("can't connect to {}: {error}", self.address))
        };
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| failed(&error))?;
        // Without it, small calls wait for the acknowledgement of earlier ones.
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        tokio::spawn(async move {
            // The call in flight reports a broken connection.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn keep(&self, connection: SendRequest<Full<Bytes>>) {
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
