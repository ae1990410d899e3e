use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::http::json_answer;
use dotterelhook_borders::http::read_body;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::Fault;
use super::FaultBody;
use super::FaultSwitch;

const BODY_MAX_BYTES: usize = 16 << 20;

/// The HTTP response of a handler, with its body in memory.
pub type Answer = Response<Full<Bytes>>;

/// The error that makes the server close a connection without an answer.
#[derive(Debug)]
pub struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl Error for ConnectionDropped {}

/// The request handling of a stand-in, behind its injected fault.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the switch that injects faults into the stand-in.
    fn faults(&self) -> &FaultSwitch;

    /// Answers one request, whose body has been read completely.
    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer;
}

/// Binds a TCP listener, with the address in the error.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| eyre::eyre!("can't listen on {address}: {error}"))
}

/// Serves HTTP/1 connections until the task is dropped; `POST /fault` sets the fault.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&*handler, request));
            let io = TokioIo::new(stream);
            // An error here is the effect of an injected fault or of a client that went away.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

async fn answer(
    handler: &dyn Handler,
    request: Request<Incoming>,
) -> Result<Answer, ConnectionDropped> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = read_body(request.into_body(), BODY_MAX_BYTES)
        .await
        .map_err(|_| ConnectionDropped)?;
    if path == "/fault" {
        return Ok(set_fault(handler, &body));
    }
    match handler.faults().apply_delay().await {
        Fault::Down => Err(ConnectionDropped),
        Fault::LoseAnswers => {
            handler.handle(&method, &path, &query, body).await;
            Err(ConnectionDropped)
        }
        Fault::Full => Ok(json_answer(StatusCode::SERVICE_UNAVAILABLE, &"full")),
        Fault::FailFast => Ok(json_answer(StatusCode::INTERNAL_SERVER_ERROR, &"failed")),
        Fault::None | Fault::Slow | Fault::Frozen => {
            Ok(handler.handle(&method, &path, &query, body).await)
        }
    }
}

fn set_fault(handler: &dyn Handler, body: &[u8]) -> Answer {
    match serde_json::from_slice::<FaultBody>(body) {
        Ok(fault) => {
            handler.faults().set(fault);
            json_answer(StatusCode::OK, &fault)
        }
        Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Returns the number under a key of a query string such as `from=3&max_records=10`.
pub fn query_number(query: &str, key: &str) -> Option<u64> {
    query.split('&').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        if name == key {
            value.parse().ok()
        } else {
            None
        }
    })
}
