//! Snapshots reach the log before retention expires the records that they cover.

mod fixture;

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::LogFault;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_peer::config::read_snapshot;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::SNAPSHOT_STREAM;
use dotterelhook_state::config::split_snapshot;
use dotterelhook_types::ids::Offset;
use fixture::follow;
use fixture::publish;
use fixture::state_of;
use fixture::wait_for_offset;
use fixture::wait_until;

const MINUTE: Duration = Duration::from_secs(60);

async fn newest_snapshot_offset(log: &MemoryLog) -> Option<Offset> {
    let snapshot = read_snapshot(log, Offset(0)).await.expect("the log works");
    snapshot.map(|snapshot| snapshot.state.next_offset())
}

async fn snapshot_record_count(log: &MemoryLog) -> u64 {
    let page = log
        .read(SNAPSHOT_STREAM, Offset(0), 1, Duration::ZERO)
        .await;
    page.expect("the log works").end_offset.0
}

async fn append_parts(log: &MemoryLog, writer: &str, jobs: u64, parts: usize) {
    let texts = split_snapshot(&state_of(jobs), writer, 0);
    let texts = texts
        .iter()
        .take(parts)
        .map(|part| serde_json::to_string(part).expect("plain data"));
    let texts: Vec<Box<str>> = texts.map(Into::into).collect();
    log.append(SNAPSHOT_STREAM, &texts)
        .await
        .expect("the log works");
}

#[tokio::test(start_paused = true)]
async fn a_new_process_starts_from_snapshot_plus_tail() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..8).await;
    append_parts(&log, "earlier", 6, usize::MAX).await;
    log.expire(CONFIG_STREAM, Offset(5));

    let (_kernel, view) = follow(log).await;
    wait_for_offset(&*view, 8).await;

    assert!(view.is_loaded());
    assert_eq!(*view.current(), state_of(8));
}

/// Guards against a configuration that lacks the expired records after an old snapshot.
#[tokio::test(start_paused = true)]
async fn a_snapshot_that_leaves_a_gap_is_not_served_as_whole() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..8).await;
    append_parts(&log, "earlier", 3, usize::MAX).await;
    log.expire(CONFIG_STREAM, Offset(5));

    let (_kernel, view) = follow(log).await;
    tokio::time::sleep(MINUTE).await;

    assert!(!view.is_loaded());
    let reason = view.unready_reason().expect("it is not ready");
    assert!(reason.contains("records 3 to 5 have expired"), "{reason}");
}

#[tokio::test(start_paused = true)]
async fn of_many_processes_few_write_and_all_agree() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..20).await;
    let mut processes = Vec::new();
    for _ in 0..8 {
        processes.push(follow(log.clone()).await);
    }

    wait_until(async || newest_snapshot_offset(&log).await == Some(Offset(20))).await;
    tokio::time::sleep(MINUTE).await;

    let written = snapshot_record_count(&log).await;
    assert!((1..=8).contains(&written), "{written}");
    for (_, view) in &processes {
        assert_eq!(*view.current(), state_of(20));
    }
}

/// Guards against an incomplete snapshot that keeps other writers from writing one.
#[tokio::test(start_paused = true)]
async fn a_writer_that_stops_half_way_is_replaced() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..900).await;
    let part_count = split_snapshot(&state_of(900), "dead", 0).len();
    append_parts(&log, "dead", 900, part_count - 1).await;
    let (_kernel, _view) = follow(log.clone()).await;

    wait_until(async || newest_snapshot_offset(&log).await == Some(Offset(900))).await;

    assert!(part_count > 1);
}

/// Guards against repeated snapshots when the log appends them but its answers are lost.
#[tokio::test(start_paused = true)]
async fn a_snapshot_whose_answer_was_lost_is_found_and_not_repeated() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..20).await;
    log.set_fault(LogFault::LoseAnswers);
    let (_kernel, _view) = follow(log.clone()).await;

    tokio::time::sleep(5 * MINUTE).await;

    assert_eq!(snapshot_record_count(&log).await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_written_again_before_it_expires_itself() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..20).await;
    let (_kernel, _view) = follow(log.clone()).await;
    tokio::time::sleep(MINUTE).await;
    let written = snapshot_record_count(&log).await;
    log.expire(SNAPSHOT_STREAM, Offset(written));

    tokio::time::sleep(20 * MINUTE).await;

    assert_eq!(newest_snapshot_offset(&log).await, Some(Offset(20)));
    assert_eq!(snapshot_record_count(&log).await, written + 1);
}

/// Guards against records that retention expires before a snapshot covers them.
#[tokio::test(start_paused = true)]
async fn retention_by_number_never_outruns_the_snapshots() {
    let log = Arc::new(MemoryLog::default());
    let (_kernel, view) = follow(log.clone()).await;
    for round in 0..40 {
        publish(&log, round * 5..round * 5 + 5).await;
        wait_for_offset(&*view, round * 5 + 5).await;
        log.expire(CONFIG_STREAM, Offset((round * 5).saturating_sub(25)));
        tokio::time::sleep(MINUTE / 2).await;

        let covered = newest_snapshot_offset(&log).await.unwrap_or_default();
        let page = log.read(CONFIG_STREAM, Offset(0), 1, Duration::ZERO).await;
        let first_retained = page.expect("the log works").first_offset;
        assert!(
            covered >= first_retained,
            "round {round}: {covered}, first retained {first_retained}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_newest_whole_snapshot_is_found_behind_broken_records() {
    let log = MemoryLog::default();
    append_parts(&log, "earlier", 6, usize::MAX).await;
    let broken: Vec<Box<str>> = vec!["{".into(); 100];
    log.append(SNAPSHOT_STREAM, &broken)
        .await
        .expect("the log works");

    let found = newest_snapshot_offset(&log).await;

    assert_eq!(found, Some(Offset(6)));
}

/// Guards against a resumed writer whose old snapshots follow a newer one on the log.
#[tokio::test(start_paused = true)]
async fn an_old_snapshot_that_was_finished_late_hides_no_newer_one() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..30).await;
    append_parts(&log, "newer", 25, usize::MAX).await;
    let delayed: Vec<u64> = vec![3; 40];
    for jobs in delayed {
        append_parts(&log, "thawed", jobs, usize::MAX).await;
    }
    log.expire(CONFIG_STREAM, Offset(20));

    let (_kernel, view) = follow(log).await;
    wait_for_offset(&*view, 30).await;

    assert_eq!(*view.current(), state_of(30));
}

/// Guards against a process behind a gap that overrides a newer snapshot with its old state.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_behind_writes_no_snapshot() {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..10).await;
    let (_kernel, view) = follow(log.clone()).await;
    wait_for_offset(&*view, 10).await;
    log.set_fault(LogFault::Down);
    tokio::time::sleep(MINUTE).await;
    log.set_fault(LogFault::None);
    publish(&log, 10..30).await;
    log.expire(CONFIG_STREAM, Offset(20));
    append_parts(&log, "newer", 15, usize::MAX).await;
    let written = snapshot_record_count(&log).await;

    tokio::time::sleep(60 * MINUTE).await;

    assert_eq!(view.current().next_offset(), Offset(10));
    assert_eq!(snapshot_record_count(&log).await, written);
}
