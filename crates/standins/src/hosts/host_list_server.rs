use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::http::json_answer;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::server::Answer;
use crate::server::FaultSwitch;
use crate::server::Handler;
use crate::server::query_number;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateBody {
    host: Box<str>,
    state: HostState,
}

/// The list as of one change; versions are numbered from one.
#[derive(Clone, Debug)]
struct Version {
    number: u64,
    created_at: Instant,
    snapshot: HostSnapshot,
}

/// The host list over HTTP; readers see each change after a fixed lag.
#[derive(Debug)]
pub struct HostListServer {
    lag: Duration,
    versions: Mutex<VecDeque<Version>>,
    lists_sent: AtomicU64,
    faults: FaultSwitch,
}

impl HostListServer {
    /// Creates an empty list whose changes become visible after the lag.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            versions: Mutex::default(),
            lists_sent: AtomicU64::new(0),
            faults: FaultSwitch::default(),
        }
    }

    /// Returns the number of answers that carried a list, without the "not modified" ones.
    pub fn lists_sent(&self) -> u64 {
        self.lists_sent.load(Ordering::SeqCst)
    }

    /// Returns the newest version that is at least as old as the lag, and drops older versions.
    fn visible_version(&self) -> Option<Version> {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let is_visible = |version: &Version| version.created_at.elapsed() >= self.lag;
        while versions.get(1).is_some_and(is_visible) {
            versions.pop_front();
        }
        versions
            .front()
            .filter(|oldest| is_visible(oldest))
            .cloned()
    }

    fn answer_list(&self, query: &str) -> Answer {
        let visible = self.visible_version();
        let number = visible.as_ref().map_or(0, |version| version.number);
        if query_number(query, "known_version") == Some(number) {
            return json_answer(StatusCode::NOT_MODIFIED, &());
        }
        self.lists_sent.fetch_add(1, Ordering::SeqCst);
        let mut snapshot = visible.map(|version| version.snapshot).unwrap_or_default();
        let domain = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("failure_domain="));
        if let Some(domain) = domain {
            snapshot
                .targets
                .retain(|t| t.failure_domain.as_str() == domain);
            snapshot
                .workers
                .retain(|w| w.failure_domain.as_str() == domain);
        }
        let list = json!({
            "version": number, "targets": snapshot.targets, "workers": snapshot.workers
        });
        json_answer(StatusCode::OK, &list)
    }

    fn append_version(&self, edit: impl FnOnce(&mut HostSnapshot)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = versions.back().cloned();
        let number = newest.as_ref().map_or(1, |version| version.number + 1);
        let mut snapshot = newest.map(|version| version.snapshot).unwrap_or_default();
        edit(&mut snapshot);
        versions.push_back(Version {
            number,
            created_at: Instant::now(),
            snapshot,
        });
    }

    fn upsert(&self, entries: HostSnapshot) {
        self.append_version(|snapshot| {
            let is_kept = |id: &str| !entries.targets.iter().any(|t| t.target.as_str() == id);
            snapshot.targets.retain(|t| is_kept(t.target.as_str()));
            let is_kept = |id: &str| !entries.workers.iter().any(|w| w.worker.as_str() == id);
            snapshot.workers.retain(|w| is_kept(w.worker.as_str()));
            snapshot.targets.extend(entries.targets);
            snapshot.workers.extend(entries.workers);
        });
    }

    fn set_state(&self, body: &StateBody) {
        self.append_version(|snapshot| {
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
impl Handler for HostListServer {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer {
        match (method, path) {
            (&Method::GET, "/hosts") => self.answer_list(query),
            (&Method::POST, "/hosts") => match serde_json::from_slice(&body) {
                Ok(entries) => {
                    self.upsert(entries);
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
