use std::time::Duration;

use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

const PAGE_RECORDS: usize = 1_000;
/// The pause between rounds, and before a failed read is repeated.
const ROUND_OR_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Two operators who concurrently publish changes of one path on the same base version.
pub struct Operators {
    log: HttpLog,
    path: ConfigPath,
}

impl Operators {
    /// Creates operators who publish the given path on the given log.
    pub fn new(log: HttpLog, path: ConfigPath) -> Self {
        Self { log, path }
    }

    /// Appends one publication on a base version; a failed append is not retried or reported.
    pub async fn publish(&self, writer: &str, sequence: u64, base: Option<Offset>, body: Value) {
        let publication = json!({
            "writer": writer, "sequence": sequence, "team": self.path.team(),
            "path": self.path, "base_offset": base, "body": body
        });
        let payload: Box<str> = publication.to_string().into();
        let _ = self.log.append(CONFIG_STREAM, &[payload]).await;
    }

    /// Runs rounds of two concurrent publications until the signal; returns the number of rounds.
    pub async fn race(&self, body: fn(u64) -> Value, mut is_over: watch::Receiver<bool>) -> u64 {
        for round in 1.. {
            let base = self.read_base().await;
            tokio::join!(
                self.publish("operator-1", round, base, body(2 * round)),
                self.publish("operator-2", round, base, body(2 * round + 1))
            );
            tokio::select! {
                _ = is_over.wait_for(|is_over| *is_over) => return round,
                () = tokio::time::sleep(ROUND_OR_RETRY_PAUSE) => {}
            }
        }
        0
    }

    /// Folds the whole stream into a configuration; `None` if a read fails.
    pub async fn state(&self) -> Option<ConfigState> {
        let mut state = ConfigState::default();
        loop {
            let from = state.next_offset();
            let read = self
                .log
                .read(CONFIG_STREAM, from, PAGE_RECORDS, Duration::ZERO);
            let page = read.await.ok()?;
            for record in &page.records {
                // The state records a refusal as the outcome of the publication.
                let _ = state.apply(record.offset, &record.payload);
            }
            if state.next_offset() >= page.end_offset {
                return Some(state);
            }
        }
    }

    async fn read_base(&self) -> Option<Offset> {
        loop {
            if let Some(state) = self.state().await {
                return state
                    .versions()
                    .get(&self.path)
                    .map(|version| version.offset);
            }
            tokio::time::sleep(ROUND_OR_RETRY_PAUSE).await;
        }
    }
}
