use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_platform::hosts::HostSnapshot;
use dotterelhook_platform::hosts::HostState;
use dotterelhook_platform::http::json_answer;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;

use crate::server::Answer;
use crate::server::FaultSwitch;
use crate::server::Handler;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateBody {
    host: Box<str>,
    state: HostState,
}

/// The host list over HTTP; readers see it as it was some time ago.
#[derive(Debug)]
pub struct HostServer {
    lag: Duration,
    versions: Mutex<VecDeque<(Instant, HostSnapshot)>>,
    faults: FaultSwitch,
}

impl HostServer {
    /// Creates an empty list whose changes show after the given time.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            versions: Mutex::default(),
            faults: FaultSwitch::default(),
        }
    }

    fn visible(&self) -> HostSnapshot {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let is_visible = |at: Instant| at.elapsed() >= self.lag;
        while versions.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            versions.pop_front();
        }
        let oldest = versions.front().filter(|(at, _)| is_visible(*at));
        oldest
            .map(|(_, snapshot)| snapshot.clone())
            .unwrap_or_default()
    }

    fn change(&self, edit: impl FnOnce(&mut HostSnapshot)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = versions.back().map(|(_, snapshot)| snapshot.clone());
        let mut snapshot = newest.unwrap_or_default();
        edit(&mut snapshot);
        versions.push_back((Instant::now(), snapshot));
    }

    fn add(&self, entries: HostSnapshot) {
        self.change(|snapshot| {
            let is_new = |id: &str| !entries.targets.iter().any(|t| t.target.as_str() == id);
            snapshot.targets.retain(|t| is_new(t.target.as_str()));
            let is_new = |id: &str| !entries.workers.iter().any(|w| w.worker.as_str() == id);
            snapshot.workers.retain(|w| is_new(w.worker.as_str()));
            snapshot.targets.extend(entries.targets);
            snapshot.workers.extend(entries.workers);
        });
    }

    fn set_state(&self, body: &StateBody) {
        self.change(|snapshot| {
            let targets = snapshot
                .targets
                .iter_mut()
                .filter(|t| t.target.as_str() == &*body.host);
            targets.for_each(|target| target.state = body.state);
            let workers = snapshot
                .workers
                .iter_mut()
                .filter(|w| w.worker.as_str() == &*body.host);
            workers.for_each(|worker| worker.state = body.state);
        });
    }
}

#[async_trait]
impl Handler for HostServer {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, method: &Method, path: &str, _query: &str, body: Bytes) -> Answer {
        match (method, path) {
            (&Method::GET, "/hosts") => json_answer(StatusCode::OK, &self.visible()),
            (&Method::POST, "/hosts") => match serde_json::from_slice(&body) {
                Ok(entries) => {
                    self.add(entries);
                    json_answer(StatusCode::OK, &"added")
                }
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            (&Method::POST, "/state") => match serde_json::from_slice(&body) {
                Ok(body) => {
                    self.set_state(&body);
                    json_answer(StatusCode::OK, &"set")
                }
                Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}
