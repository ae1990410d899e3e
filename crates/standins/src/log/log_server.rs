use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::http::json_answer;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_types::ids::Offset;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::server::Answer;
use crate::server::FaultSwitch;
use crate::server::Handler;
use crate::server::query_number;

const DEFAULT_PAGE_RECORDS: u64 = 1_000;
const HOLD_MAX_MS: u64 = 30_000;

#[derive(Deserialize)]
struct AppendBody {
    payloads: Vec<Box<str>>,
}

/// An in-memory log served over HTTP, which retains a limited number of records per stream.
#[derive(Debug)]
pub struct LogServer {
    log: MemoryLog,
    faults: FaultSwitch,
    records_max: usize,
}

impl LogServer {
    /// Creates an empty log that retains the newest `records_max` records of each stream.
    pub fn new(records_max: usize) -> Self {
        Self {
            log: MemoryLog::default(),
            faults: FaultSwitch::default(),
            records_max,
        }
    }

    async fn append(&self, stream: &str, body: &[u8]) -> Answer {
        let body = match serde_json::from_slice::<AppendBody>(body) {
            Ok(body) => body,
            Err(error) => return json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.log.append(stream, &body.payloads).await {
            Ok(first_offset) => {
                self.log.retain_newest(self.records_max);
                json_answer(StatusCode::OK, &json!({ "first_offset": first_offset }))
            }
            Err(error) => json_answer(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn read(&self, stream: &str, query: &str) -> Answer {
        let from = Offset(query_number(query, "from").unwrap_or(0));
        let max_records = query_number(query, "max_records").unwrap_or(DEFAULT_PAGE_RECORDS);
        let hold_ms = query_number(query, "hold_ms").unwrap_or(0).min(HOLD_MAX_MS);
        let hold = Duration::from_millis(hold_ms);
        match self
            .log
            .read(stream, from, max_records as usize, hold)
            .await
        {
            Ok(page) => json_answer(StatusCode::OK, &page),
            Err(error) => json_answer(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }
}

#[async_trait]
impl Handler for LogServer {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer {
        let stream = path
            .strip_prefix("/streams/")
            .and_then(|p| p.strip_suffix("/records"));
        match (method, stream) {
            (&Method::POST, Some(stream)) => self.append(stream, &body).await,
            (&Method::GET, Some(stream)) => self.read(stream, query).await,
            _ => json_answer(StatusCode::NOT_FOUND, &"no such path"),
        }
    }
}
