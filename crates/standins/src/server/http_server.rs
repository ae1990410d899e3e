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

/// What a handler returns.
pub type Answer = Response<Full<Bytes>>;

/// The connection is closed without an answer.
#[derive(Debug)]
pub struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was dropped on purpose")
    }
}

impl Error for Dropped {}

/// Handles the requests of a stand-in.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the switch of the stand-in's fault.
    fn faults(&self) -> &FaultSwitch;

    /// Answers one request; the body is whole.
    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer;
}

/// Binds an address.
///
/// # Errors
/// The address is taken or not this machine's.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| eyre::eyre!("can't listen on {address}: {error}"))
}

/// Serves connections for ever; `POST /fault` sets the fault.
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
            // A dropped connection is what a fault asks for.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

async fn answer(handler: &dyn Handler, request: Request<Incoming>) -> Result<Answer, Dropped> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = read_body(request.into_body(), BODY_MAX_BYTES)
        .await
        .map_err(|_| Dropped)?;
    if path == "/fault" {
        return Ok(set_fault(handler, &body));
    }
    match handler.faults().wait().await {
        Fault::Down => Err(Dropped),
        Fault::LoseAnswers => {
            handler.handle(&method, &path, &query, body).await;
            Err(Dropped)
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

/// Returns a number from a query such as `from=3&max_records=10`.
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
