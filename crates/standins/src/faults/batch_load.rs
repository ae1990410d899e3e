use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_state::shard::RunSummary;
use hyper::Method;

const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// A client that submits runs, retries each until accepted, and waits until all are done.
#[derive(Clone, Debug)]
pub struct BatchLoad {
    /// The API addresses of the schedulers of one failure domain, which accept runs.
    pub apis: Vec<SocketAddr>,
    /// The admin addresses of the same schedulers, which return the summaries of runs.
    pub admins: Vec<SocketAddr>,
    /// The names of the runs to submit, in order.
    pub runs: Vec<Box<str>>,
    /// The path of the job, as `team/name`.
    pub job: Box<str>,
}

impl BatchLoad {
    /// Submits the runs one after the other, with a pause after each.
    pub async fn submit(&self, pause: Duration) {
        for run in &self.runs {
            self.submit_one(run).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn submit_one(&self, run: &str) {
        for attempt in 0_usize.. {
            let address = self.apis[attempt % self.apis.len()];
            let client = JsonClient::new(address, CALL_TIMEOUT);
            let path = format!("/runs/{}/{run}", self.job);
            let answer = client.send(Method::POST, &path, &()).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Polls until all runs are done or the limit has passed, and returns the last summaries read.
    pub async fn wait_until_done(&self, limit: Duration) -> Vec<RunSummary> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let summaries = self.read_summaries().await;
            let expected: BTreeSet<&str> = self.runs.iter().map(|run| &**run).collect();
            let done = summaries
                .iter()
                .filter(|summary| summary.done == summary.tasks);
            let done: BTreeSet<&str> = done.map(|summary| summary.run.as_str()).collect();
            if done.is_superset(&expected) || tokio::time::Instant::now() > deadline {
                return summaries;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    async fn read_summaries(&self) -> Vec<RunSummary> {
        let mut summaries = Vec::new();
        for admin in &self.admins {
            let client = JsonClient::new(*admin, CALL_TIMEOUT);
            let answer = client
                .get("/runs")
                .await
                .and_then(|answer| answer.check_status());
            let found = answer.and_then(|answer| answer.decode::<Vec<RunSummary>>());
            summaries.extend(found.unwrap_or_default());
        }
        summaries
    }
}
