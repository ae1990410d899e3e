use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dotterelhook_borders::http::json_answer;
use dotterelhook_borders::http::read_body;
use dotterelhook_types::Verdict;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::Counters;
use super::counters::SharedCounters;
use crate::server::Answer;
use crate::server::ConnectionDropped;
use crate::server::Fault;
use crate::server::FaultSwitch;

/// Marks a refusal by a target that is draining.
const DRAINING_HEADER: &str = "x-dotterelhook-draining";
const REQUEST_ID_HEADER: &str = "x-request-id";
const BODY_MAX_BYTES: usize = 16 << 20;

/// The capacity and service time of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSettings {
    /// The number of requests that run concurrently; further ones are refused.
    pub slots: u32,
    /// The number of connections that may be open; further ones are closed at once.
    pub connections_max: u32,
    /// The mean of the exponentially distributed time of one request.
    pub service_time: Duration,
}

/// A target that echoes the body of each request.
#[derive(Debug)]
pub struct TargetServer {
    settings: TargetSettings,
    counters: SharedCounters,
    faults: FaultSwitch,
    is_draining: AtomicBool,
}

impl TargetServer {
    /// Creates an idle target, which is not draining and has no fault.
    pub fn new(settings: TargetSettings) -> Self {
        Self {
            settings,
            counters: SharedCounters::default(),
            faults: FaultSwitch::default(),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Returns the switch that injects faults into the target.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Returns a copy of the current counts.
    pub fn counters(&self) -> Counters {
        self.counters.with(|counters| counters.clone())
    }

    /// Makes the target refuse new requests as draining, or accept them again.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::SeqCst);
    }

    /// Serves HTTP/1 connections until the task is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let target = Arc::clone(&self);
            let has_capacity = self.counters.with(|counters| {
                let has_capacity = counters.connections < u64::from(self.settings.connections_max);
                counters.connections += u64::from(has_capacity);
                counters.connections_max = counters.connections_max.max(counters.connections);
                has_capacity
            });
            if !has_capacity {
                continue;
            }
            tokio::spawn(async move {
                let service = service_fn(|request| target.answer(request));
                let io = TokioIo::new(stream);
                // An error here is the effect of an injected fault or of a client that went away.
                let _ = http1::Builder::new().serve_connection(io, service).await;
                target.counters.with(|counters| counters.connections -= 1);
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, ConnectionDropped> {
        if request.uri().path().starts_with("/_target/") {
            return Ok(self.handle_control(request).await);
        }
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let id_text = id.as_ref().and_then(|id| id.to_str().ok());
        let fault = self.faults.get().fault;
        match fault {
            Fault::Down => return Err(ConnectionDropped),
            Fault::FailFast => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                self.counters.with(|counters| counters.executed += 1);
                return Ok(json_answer(status, &"failed"));
            }
            _ => {}
        }
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let slots = u64::from(self.settings.slots);
        if is_draining || fault == Fault::Full || !self.counters.try_begin(id_text, slots) {
            return Ok(refusal(is_draining));
        }
        let result = self.echo(request).await;
        self.counters.with(|counters| counters.in_flight -= 1);
        let mut answer = result?;
        if let Some(id) = id {
            answer.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        if fault == Fault::LoseAnswers {
            Err(ConnectionDropped)
        } else {
            Ok(answer)
        }
    }

    async fn echo(&self, request: Request<Incoming>) -> Result<Answer, ConnectionDropped> {
        let body = read_body(request.into_body(), BODY_MAX_BYTES)
            .await
            .map_err(|_| ConnectionDropped)?;
        self.faults.apply_delay().await;
        tokio::time::sleep(self.settings.service_time.mul_f64(sample_exponential())).await;
        Ok(Response::new(Full::new(body)))
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = read_body(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        match (&method, &*path) {
            (&Method::GET, "/_target/counters") => json_answer(StatusCode::OK, &self.counters()),
            (&Method::POST, "/_target/draining") => {
                self.set_draining(body.as_ref() == b"true");
                json_answer(StatusCode::OK, &"set")
            }
            (&Method::POST, "/_target/fault") => match serde_json::from_slice(&body) {
                Ok(fault) => {
                    self.faults.set(fault);
                    json_answer(StatusCode::OK, &"set")
                }
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

fn refusal(is_draining: bool) -> Answer {
    let mut answer = json_answer(StatusCode::SERVICE_UNAVAILABLE, &"not run");
    let headers = answer.headers_mut();
    headers.insert(Verdict::HEADER, HeaderValue::from_static("not-run"));
    if is_draining {
        headers.insert(DRAINING_HEADER, HeaderValue::from_static("true"));
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Draws from the exponential distribution with mean one.
fn sample_exponential() -> f64 {
    -(1.0 - rand::random::<f64>()).ln()
}
