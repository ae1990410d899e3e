use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_state::shard::RunSummary;
use hyper::Method;

const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Submits runs, each again and again until it is accepted, and waits for their ends.
#[derive(Clone, Debug)]
pub struct BatchLoad {
    /// The submitters' addresses of one failure domain's schedulers.
    pub apis: Vec<SocketAddr>,
    /// The operators' addresses of the same schedulers.
    pub admins: Vec<SocketAddr>,
    /// The names of the runs to submit.
    pub runs: Vec<Box<str>>,
    /// The path of the job: team and name.
    pub job: Box<str>,
}

impl BatchLoad {
    /// Submits all runs, one after the other with a pause between.
    pub async fn submit(&self, pause: Duration) {
        for run in &self.runs {
            self.submit_one(run).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn submit_one(&self, run: &str) {
        for try_number in 0_usize.. {
            let address = self.apis[try_number % self.apis.len()];
            let client = JsonClient::new(address, CALL_TIMEOUT);
            let path = format!("/runs/{}/{run}", self.job);
            let answer = client.send(Method::POST, &path, &()).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until all runs have ended, and returns the ledger.
    pub async fn wait(&self, limit: Duration) -> Vec<RunSummary> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let ledger = self.ledger().await;
            let wanted: BTreeSet<&str> = self.runs.iter().map(|run| &**run).collect();
            let ended = ledger.iter().filter(|line| line.done == line.tasks);
            let ended: BTreeSet<&str> = ended.map(|line| line.run.as_str()).collect();
            if ended.is_superset(&wanted) || tokio::time::Instant::now() > deadline {
                return ledger;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    async fn ledger(&self) -> Vec<RunSummary> {
        let mut lines = Vec::new();
        for admin in &self.admins {
            let client = JsonClient::new(*admin, CALL_TIMEOUT);
            let answer = client
                .get("/runs")
                .await
                .and_then(|answer| answer.check_status());
            let found = answer.and_then(|answer| answer.decode::<Vec<RunSummary>>());
            lines.extend(found.unwrap_or_default());
        }
        lines
    }
}
