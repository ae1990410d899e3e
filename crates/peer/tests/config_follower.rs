//! A process that follows the log never skips records that retention has expired.

mod fixture;

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::LogFault;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_types::ids::Offset;
use fixture::follow;
use fixture::publish;
use fixture::wait_for_offset;

const SETTLE_TIME: Duration = Duration::from_secs(120);

/// Guards against a start from the oldest retained record without a snapshot before it.
#[tokio::test(start_paused = true)]
async fn a_new_process_does_not_skip_records_that_expired() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..10).await;
    log.expire(CONFIG_STREAM, Offset(4));

    let (_kernel, view) = follow(log).await;
    tokio::time::sleep(SETTLE_TIME).await;

    assert!(!view.is_loaded());
    assert_eq!(view.current().next_offset(), Offset(0));
}

/// Guards against a gap after an outage during which retention expired unread records.
#[tokio::test(start_paused = true)]
async fn a_running_process_does_not_skip_records_that_expired() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..2).await;
    let (_kernel, view) = follow(log.clone()).await;
    wait_for_offset(&*view, 2).await;
    log.set_fault(LogFault::Down);
    tokio::time::sleep(SETTLE_TIME).await;
    log.set_fault(LogFault::None);
    publish(&log, 2..10).await;
    log.expire(CONFIG_STREAM, Offset(4));

    tokio::time::sleep(SETTLE_TIME).await;

    assert_eq!(view.current().next_offset(), Offset(2));
}

/// Guards against an age that is renewed by failed reads, or that counts from the answer of a long poll:
/// a record that was accepted while the poll waited may be missing in it.
#[tokio::test(start_paused = true)]
async fn the_age_of_the_view_counts_from_when_the_last_complete_read_was_sent() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..2).await;
    let (_kernel, view) = follow(log.clone()).await;
    wait_for_offset(&*view, 2).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let healthy_ms = view.complete_read_age_ms();

    log.set_fault(LogFault::Down);
    tokio::time::sleep(SETTLE_TIME).await;
    let outage_ms = view.complete_read_age_ms();
    log.set_fault(LogFault::None);
    tokio::time::sleep(SETTLE_TIME).await;
    let healed_ms = view.complete_read_age_ms();

    let long_polls_ms = 10_100;
    assert!(
        healthy_ms.is_some_and(|age_ms| age_ms <= long_polls_ms),
        "{healthy_ms:?}"
    );
    assert!(
        outage_ms.is_some_and(|age_ms| age_ms >= 120_000),
        "{outage_ms:?}"
    );
    assert!(
        healed_ms.is_some_and(|age_ms| age_ms <= long_polls_ms),
        "{healed_ms:?}"
    );
}
