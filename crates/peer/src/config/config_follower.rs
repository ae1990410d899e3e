use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_platform::clock::Clock;
use dotterelhook_platform::log::Log;
use dotterelhook_platform::log::LogPage;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use spdlog::info;
use spdlog::warn;

use super::ConfigView;

const PAGE_RECORDS: usize = 1_000;
const READ_HOLD: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const NEVER: u64 = u64::MAX;

/// Follows the `config` stream and provides the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigFollower;

struct Followed {
    state: ArcSwap<ConfigState>,
    clock: Arc<dyn Clock>,
    log_contact_at_ms: AtomicU64,
}

impl ConfigView for Followed {
    fn current(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    fn is_known(&self) -> bool {
        self.log_contact_at_ms.load(Ordering::Acquire) != NEVER
    }

    fn log_contact_age_ms(&self) -> Option<u64> {
        match self.log_contact_at_ms.load(Ordering::Acquire) {
            NEVER => None,
            at_ms => Some(self.clock.monotonic_ms().saturating_sub(at_ms)),
        }
    }
}

#[async_trait]
impl Service for ConfigFollower {
    fn name(&self) -> &'static str {
        names::CONFIG
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let log = kernel.registry().find::<dyn Log>(names::LOG)?;
        let followed = Arc::new(Followed {
            state: ArcSwap::default(),
            clock: kernel.registry().find::<dyn Clock>(names::CLOCK)?,
            log_contact_at_ms: AtomicU64::new(NEVER),
        });
        kernel
            .registry()
            .provide::<dyn ConfigView>(names::CONFIG, followed.clone());
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            tokio::select! {
                () = stopping.cancelled() => {}
                () = follow(&*log, &followed) => {}
            }
        });
        Ok(())
    }
}

async fn follow(log: &dyn Log, followed: &Followed) {
    loop {
        let from = followed.state.load().next_offset();
        match log.read(CONFIG_STREAM, from, PAGE_RECORDS, READ_HOLD).await {
            Ok(page) => {
                let now_ms = followed.clock.monotonic_ms();
                followed.log_contact_at_ms.store(now_ms, Ordering::Release);
                apply_page(followed, &page);
            }
            Err(error) => {
                warn!("config: can't read the log: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_page(followed: &Followed, page: &LogPage) {
    if page.records.is_empty() {
        return;
    }
    let mut state = ConfigState::clone(&followed.state.load());
    for record in &page.records {
        if let Err(refusal) = state.apply(record.offset, &record.payload) {
            warn!("config: record {} refused: {refusal}", record.offset);
        }
    }
    info!("config: {} in force", state.next_offset());
    followed.state.store(Arc::new(state));
}
