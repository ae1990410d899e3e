use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::clock::SystemClock;
use dotterelhook_borders::http::json_answer;
use dotterelhook_types::ids::AttemptId;
use hyper::Method;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::WorkerModel;
use crate::server::Answer;
use crate::server::FaultSwitch;
use crate::server::Handler;

/// A worker's agent served over HTTP.
#[derive(Debug)]
pub struct WorkerServer {
    model: Mutex<WorkerModel>,
    clock: SystemClock,
    started_at_unix_ms: u64,
    faults: FaultSwitch,
}

impl WorkerServer {
    /// Creates an agent that drives the model by the system clock.
    pub fn new(model: WorkerModel) -> Self {
        let clock = SystemClock::new();
        Self {
            model: Mutex::new(model),
            started_at_unix_ms: clock.unix_ms(),
            clock,
            faults: FaultSwitch::default(),
        }
    }

    fn model(&self) -> MutexGuard<'_, WorkerModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns Unix time at the start of the agent plus monotonic time since, which never jumps.
    fn now_ms(&self) -> u64 {
        self.started_at_unix_ms + self.clock.monotonic_ms()
    }

    fn start(&self, attempt: &AttemptId, body: &[u8]) -> Answer {
        with_json_body(body, |body| {
            match self.model().start(attempt, &body, self.now_ms()) {
                Ok(()) => json_answer(StatusCode::OK, &"started"),
                Err(refusal) => json_answer(StatusCode::CONFLICT, &refusal.to_string()),
            }
        })
    }

    fn renew(&self, body: &[u8]) -> Answer {
        with_json_body(body, |body| {
            let now_ms = self.now_ms();
            let mut model = self.model();
            match model.renew(&body, now_ms) {
                Ok(()) => json_answer(StatusCode::OK, &model.inventory(now_ms)),
                Err(refusal) => json_answer(StatusCode::CONFLICT, &refusal.to_string()),
            }
        })
    }

    fn checkpoint(&self, attempt: &AttemptId) -> Answer {
        match self.model().checkpoint(attempt, self.now_ms()) {
            Some(name) => json_answer(StatusCode::OK, &json!({ "checkpoint": name })),
            None => json_answer(StatusCode::CONFLICT, &"the attempt does not run"),
        }
    }

    fn handle_attempt(&self, method: &Method, path: &str, body: &[u8]) -> Answer {
        let (id, action) = path.split_once('/').unwrap_or((path, ""));
        let Ok(attempt) = id.parse::<AttemptId>() else {
            return json_answer(StatusCode::BAD_REQUEST, &"not an attempt");
        };
        match (method, action) {
            (&Method::PUT, "") => self.start(&attempt, body),
            (&Method::DELETE, "") => {
                self.model().forget(&attempt);
                json_answer(StatusCode::OK, &"forgotten")
            }
            (&Method::POST, "stop") => with_json_body(body, |body| {
                self.model().stop(&attempt, &body, self.now_ms());
                json_answer(StatusCode::OK, &"stopped")
            }),
            (&Method::POST, "checkpoint") => self.checkpoint(&attempt),
            (&Method::POST, "throttle") => json_answer(StatusCode::OK, &"throttled"),
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}

fn with_json_body<T: DeserializeOwned>(body: &[u8], handle: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(body) => handle(body),
        Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

#[async_trait]
impl Handler for WorkerServer {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, method: &Method, path: &str, _query: &str, body: Bytes) -> Answer {
        if let Some(rest) = path.strip_prefix("/attempts/") {
            return self.handle_attempt(method, rest, &body);
        }
        match (method, path) {
            (&Method::GET, "/inventory") => {
                json_answer(StatusCode::OK, &self.model().inventory(self.now_ms()))
            }
            (&Method::POST, "/leases") => self.renew(&body),
            (&Method::GET, "/intervals") => {
                let mut model = self.model();
                model.advance(self.now_ms());
                json_answer(StatusCode::OK, &model.intervals())
            }
            (&Method::GET, "/most-used") => json_answer(StatusCode::OK, &self.model().peak_usage()),
            (&Method::POST, "/fails-all") => {
                self.model().set_fails_all(body.as_ref() == b"true");
                json_answer(StatusCode::OK, &"set")
            }
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}
