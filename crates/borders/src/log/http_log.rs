use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use hyper::Method;
use serde::Deserialize;
use serde::Serialize;

use super::Log;
use super::LogPage;
use crate::http::JsonClient;

#[derive(Serialize)]
struct AppendBody<'a> {
    payloads: &'a [Box<str>],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first_offset: Offset,
}

/// An HTTP client of the log.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: JsonClient,
}

impl HttpLog {
    /// Creates a client of the log at the given address. `timeout` limits each call; the long-poll
    /// time of a read is added.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, timeout),
        }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &str, payloads: &[Box<str>]) -> Result<Offset, CallError> {
        let path = format!("/streams/{stream}/records");
        let body = AppendBody { payloads };
        let answer = self
            .client
            .send(Method::POST, &path, &body)
            .await?
            .check_status()?;
        Ok(answer.decode::<AppendAnswer>()?.first_offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: usize,
        hold: Duration,
    ) -> Result<LogPage, CallError> {
        let hold_ms = hold.as_millis();
        let path = format!(
            "/streams/{stream}/records?from={from}&max_records={max_records}&hold_ms={hold_ms}"
        );
        let answer = self
            .client
            .get_long_poll(&path, hold)
            .await?
            .check_status()?;
        let page: LogPage = answer.decode()?;
        page.validate(from).map_err(CallError::may_have_run)?;
        Ok(page)
    }
}
