use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;
use hyper::Method;
use serde::Deserialize;
use serde_json::json;

use super::Inventory;
use super::RenewBody;
use super::StartBody;
use super::StopBody;
use super::WorkerAgent;
use super::WorkerAgents;
use crate::http::JsonClient;

#[derive(Deserialize)]
struct CheckpointAnswer {
    checkpoint: Box<str>,
}

/// An HTTP client of one worker's agent.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    client: JsonClient,
}

#[async_trait]
impl WorkerAgent for HttpWorker {
    async fn inventory(&self) -> Result<Inventory, CallError> {
        self.client
            .get("/inventory")
            .await?
            .check_status()?
            .decode()
    }

    async fn start(&self, attempt: &AttemptId, body: &StartBody) -> Result<(), CallError> {
        let path = format!("/attempts/{attempt}");
        self.client
            .send(Method::PUT, &path, body)
            .await?
            .check_status()?;
        Ok(())
    }

    async fn renew(&self, body: &RenewBody) -> Result<Inventory, CallError> {
        self.client
            .send(Method::POST, "/leases", body)
            .await?
            .check_status()?
            .decode()
    }

    async fn throttle(&self, attempt: &AttemptId, cpu_percent: u32) -> Result<(), CallError> {
        let path = format!("/attempts/{attempt}/throttle");
        let body = json!({ "cpu_percent": cpu_percent });
        self.client
            .send(Method::POST, &path, &body)
            .await?
            .check_status()?;
        Ok(())
    }

    async fn checkpoint(&self, attempt: &AttemptId) -> Result<Box<str>, CallError> {
        let path = format!("/attempts/{attempt}/checkpoint");
        let answer = self
            .client
            .send(Method::POST, &path, &json!({}))
            .await?
            .check_status()?;
        Ok(answer.decode::<CheckpointAnswer>()?.checkpoint)
    }

    async fn stop(&self, attempt: &AttemptId, body: &StopBody) -> Result<(), CallError> {
        let path = format!("/attempts/{attempt}/stop");
        self.client
            .send(Method::POST, &path, body)
            .await?
            .check_status()?;
        Ok(())
    }

    async fn forget(&self, attempt: &AttemptId) -> Result<(), CallError> {
        let path = format!("/attempts/{attempt}");
        self.client
            .send(Method::DELETE, &path, &json!({}))
            .await?
            .check_status()?;
        Ok(())
    }
}

/// Creates HTTP clients of workers' agents.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates a factory. `timeout` limits each call of its clients.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }
}

impl WorkerAgents for HttpWorkers {
    fn agent(&self, address: SocketAddr) -> Arc<dyn WorkerAgent> {
        Arc::new(HttpWorker {
            client: JsonClient::new(address, self.timeout),
        })
    }
}
