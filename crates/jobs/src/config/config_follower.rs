use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::ActiveConfig;
use crate::evacuation::Evacuations;
use crate::evacuation::OperatorView;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::DecodeError;
use crate::platform::KeyedRecord;
use crate::platform::OperatorRecord;
use crate::platform::Platform;
use crate::platform::Store;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;
use crate::store_access::time_since_boot;

/// The pause after a failed read, well below the deadline for activating a new configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Activates each version of the configuration as soon as an operator publishes it, and puts
/// operators' requests for evacuations in force.
pub struct ConfigFollower {
    platform: Arc<dyn Platform>,
    store: Arc<dyn Store>,
    active: Arc<ActiveConfig>,
    view: Arc<OperatorView>,
}

impl ConfigFollower {
    /// Creates a follower. Reading starts with [`Self::run`].
    pub fn new(
        platform: Arc<dyn Platform>,
        store: Arc<dyn Store>,
        active: Arc<ActiveConfig>,
        view: Arc<OperatorView>,
    ) -> Self {
        Self {
            platform,
            store,
            active,
            view,
        }
    }

    /// Follows the operators' partition; never returns.
    pub async fn run(self) {
        let partition = self.platform.operator_partition();
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), partition);
        loop {
            match feed.next(self.view.read_hold()).await {
                Ok(batch) => {
                    self.apply(batch);
                    if let Some(confirmed_at) = feed.confirmed_at() {
                        self.view.confirm(confirmed_at);
                    }
                }
                // `TrackedStore` logs failed calls.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Applies a batch of records. Evacuations take effect together, and before a configuration: a
    /// process without a configuration owns no cell yet.
    fn apply(&self, batch: FeedBatch) {
        let former = self.view.evacuations();
        let (records, mut evacuations) = match batch {
            FeedBatch::Changes(records) => (records, Evacuations::clone(&former)),
            FeedBatch::Snapshot(records) => (records, Evacuations::default()),
        };
        let mut configs = Vec::new();
        for record in &records {
            match self.platform.decode_operator_record(record) {
                Ok(OperatorRecord::Config(config)) => configs.push(*config),
                Ok(OperatorRecord::EvacuationRequested(domain)) => {
                    let requested_at = former.requested_at(&domain);
                    evacuations.request(domain, requested_at.unwrap_or_else(time_since_boot));
                }
                Ok(OperatorRecord::EvacuationEnded(domain)) => evacuations.end(&domain),
                Ok(OperatorRecord::Other) => {}
                Err(error) => self.log_unreadable(record, &error),
            }
        }
        self.log_changes(&former, &evacuations);
        self.view.replace(evacuations);
        for config in configs {
            let version = config.version();
            if self.active.activate_if_newer(config) {
                decided!(Decision::ConfigInForce, version: version);
            }
        }
    }

    fn log_unreadable(&self, record: &KeyedRecord, error: &DecodeError) {
        decided!(Decision::ConfigUnreadable, key: record.key, cause: error);
    }

    fn log_changes(&self, former: &Evacuations, current: &Evacuations) {
        let now = time_since_boot();
        let age_ms = self.view.age(now).unwrap_or_default().as_millis();
        for (domain, _) in current.iter() {
            if !former.contains(domain) {
                decided!(Decision::EvacuationRequested, domain: domain, former_view_ms: age_ms);
            }
        }
        for (domain, requested_at) in former.iter() {
            if !current.contains(domain) {
                let lasted_ms = now.saturating_sub(requested_at).as_millis();
                decided!(Decision::EvacuationEnded, domain: domain, lasted_ms: lasted_ms, former_view_ms: age_ms);
            }
        }
    }
}
