//! The room for accepted jobs under crowds of them. Guards against accepted jobs that outgrow the machine
//! of their owner, and against large jobs that keep small ones away.

use std::time::Duration;

use dotterelhook_jobs::admission::JobRoom;
use dotterelhook_jobs::admission::RoomQuery;
use dotterelhook_jobs::admission::RoomView;
use dotterelhook_jobs::ledger::JobLedger;
use dotterelhook_jobs::model::JobId;
use tokio::time::Instant;
use tokio::time::advance;

const ROOM_BYTES: usize = 40_000_000;
const LARGE_BYTES: usize = 2_500_000;
const SMALL_BYTES: usize = 10_000;

#[tokio::test(start_paused = true)]
async fn a_crowd_of_large_jobs_leaves_room_for_small_ones() {
    let mut room = JobRoom::new(ROOM_BYTES);

    let now = Instant::now();
    let accepted = (0..100).filter(|_| room.reserve(LARGE_BYTES, 0, now));
    let accepted = accepted.count();

    assert_eq!(accepted, 12);
    assert!(room.reserve(SMALL_BYTES, 0, now));
}

#[tokio::test(start_paused = true)]
async fn room_is_free_again_once_jobs_end() {
    let mut room = JobRoom::new(ROOM_BYTES);

    let while_full = room.reserve(LARGE_BYTES, ROOM_BYTES, Instant::now());
    let later = room.reserve(LARGE_BYTES, 0, Instant::now());

    assert!(!while_full);
    assert!(later);
}

/// A reservation that became no job must not count for ever, and one that did counts with the kept jobs.
#[tokio::test(start_paused = true)]
async fn reservations_end() {
    let mut room = JobRoom::new(ROOM_BYTES);
    while room.reserve(LARGE_BYTES, 0, Instant::now()) {}

    advance(Duration::from_secs(5)).await;

    assert!(room.reserve(LARGE_BYTES, 0, Instant::now()));
}

/// A smaller host may own the cell next.
#[tokio::test(start_paused = true)]
async fn the_smallest_host_limits_the_room() {
    let mut room = JobRoom::new(ROOM_BYTES);

    room.limit_to(1_000_000);

    assert!(!room.reserve(LARGE_BYTES, 0, Instant::now()));
    assert!(room.reserve(SMALL_BYTES, 0, Instant::now()));
}

#[test]
fn small_jobs_wait_for_the_owner_only_while_room_is_short() {
    let mut view = RoomView::default();

    let ordinary: Vec<_> = (0..7).map(|_| view.count(SMALL_BYTES)).collect();
    view.record(Some(false));
    let while_short = view.count(SMALL_BYTES);
    view.record(Some(true));
    let afterwards = view.count(SMALL_BYTES);

    assert_eq!(ordinary[..6], [RoomQuery::None; 6]);
    assert_eq!(ordinary[6], RoomQuery::InBackground);
    assert_eq!(while_short, RoomQuery::First);
    assert_eq!(afterwards, RoomQuery::None);
}

/// Guards against a burst that fills the owner before its answer arrives.
#[test]
fn a_burst_of_small_jobs_waits_for_the_owner() {
    let mut view = RoomView::default();

    let queries: Vec<_> = (0..100).map(|_| view.count(SMALL_BYTES)).collect();

    let background = queries
        .iter()
        .filter(|query| **query == RoomQuery::InBackground);
    assert_eq!(background.count(), 1);
    assert_eq!(queries[99], RoomQuery::First);
}

/// Guards against cancellations of jobs that nobody submits, which the owner kept for ever.
#[tokio::test(start_paused = true)]
async fn a_crowd_of_cancellations_of_unknown_jobs_is_forgotten() {
    let retention = Duration::from_secs(180);
    let mut ledger = JobLedger::default();
    for number in 0..1_000 {
        let id: JobId = format!("{number:016x}").parse().expect("an id");
        ledger.cancel(id, Instant::now());
    }

    let kept_bytes = ledger.memory_bytes();
    advance(retention + Duration::from_secs(1)).await;
    ledger.remove_expired(retention, Instant::now());

    assert!(kept_bytes > 0);
    assert_eq!(ledger.memory_bytes(), 0);
}
