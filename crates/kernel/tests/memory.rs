//! The account of clients' bytes under crowds, without a network. Guards against room that is kept
//! without progress, and against large requests that keep small ones away.

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_kernel::memory::ConnectionMemory;
use dotterelhook_kernel::memory::LastingMemory;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_kernel::memory::MemoryAccount;
use tokio::time::advance;
use tokio::time::timeout;

const LISTENER: &str = "entry";
/// Half of the memory is for clients, and three quarters of that for large requests.
const LARGE_MAX_BYTES: usize = 60_000_000;
const LARGE_BYTES: usize = 750_000;
const SMALL_BYTES: usize = 12_000;
const LONG: Duration = Duration::from_secs(2);

fn account() -> Arc<MemoryAccount> {
    MemoryAccount::new(MachineMemory::from_megabytes(160))
}

/// Opens a connection whose client sends a large body, and reserves the room.
async fn open_large(
    account: &Arc<MemoryAccount>,
) -> Option<(
    Arc<ConnectionMemory>,
    dotterelhook_kernel::memory::Reservation,
)> {
    let connection = account.open(LISTENER).await;
    connection.record_received(1);
    let reservation = connection.reserve(LARGE_BYTES, 0).await.ok()?;
    Some((connection, reservation))
}

async fn is_evicted(connection: &ConnectionMemory) -> bool {
    let evicted = timeout(Duration::from_millis(1), connection.evicted());
    evicted.await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_crowd_of_large_bodies_leaves_room_for_small_ones() {
    let account = account();
    let mut crowd = Vec::new();
    while let Some(member) = open_large(&account).await {
        crowd.push(member);
    }

    let ordinary = account.open(LISTENER).await;
    let small = ordinary.reserve(SMALL_BYTES, 0).await;

    assert!(crowd.len() * LARGE_BYTES <= LARGE_MAX_BYTES);
    assert!(crowd.len() * LARGE_BYTES > LARGE_MAX_BYTES * 9 / 10);
    assert!(small.is_ok(), "{small:?}");
}

/// Guards against large requests that take the room of small ones piece by piece.
#[tokio::test(start_paused = true)]
async fn a_large_request_that_grows_is_no_small_one() {
    let account = account();
    let mut held = account.reserve(0, 0, None).await.expect("room");

    while let Ok(more) = account.reserve(SMALL_BYTES, held.bytes(), None).await {
        held.merge(more);
    }

    assert!(held.bytes() <= LARGE_MAX_BYTES);
}

#[tokio::test(start_paused = true)]
async fn a_crowd_that_still_makes_progress_is_not_closed() {
    let account = account();
    let mut crowd = Vec::new();
    while let Some(member) = open_large(&account).await {
        crowd.push(member);
    }

    for _ in 0..20 {
        advance(Duration::from_millis(400)).await;
        crowd
            .iter()
            .for_each(|(connection, _)| connection.record_received(8_000));
    }
    let newcomer = open_large(&account).await;

    assert!(newcomer.is_none());
    assert!(!is_evicted(&crowd[0].0).await);
}

#[tokio::test(start_paused = true)]
async fn a_crowd_that_trickles_single_bytes_gives_way() {
    let account = account();
    let mut crowd = Vec::new();
    while let Some(member) = open_large(&account).await {
        crowd.push(member);
    }
    for _ in 0..20 {
        advance(Duration::from_millis(100)).await;
        crowd
            .iter()
            .for_each(|(connection, _)| connection.record_received(1));
    }

    let (oldest, reservation) = crowd.remove(0);
    let closes = tokio::spawn(async move {
        oldest.evicted().await;
        drop((oldest, reservation));
    });
    let newcomer = timeout(LONG, open_large(&account)).await;

    assert!(newcomer.is_ok_and(|newcomer| newcomer.is_some()));
    assert!(closes.is_finished());
}

/// Guards against hosts that are refused while a crowd keeps room without progress.
#[tokio::test(start_paused = true)]
async fn a_stalled_crowd_gives_way_to_other_hosts() {
    let account = account();
    let mut crowd = Vec::new();
    while let Some(member) = open_large(&account).await {
        crowd.push(member);
    }
    advance(LONG).await;
    for (connection, reservation) in crowd {
        tokio::spawn(async move {
            connection.evicted().await;
            drop((connection, reservation));
        });
    }

    let reserved = timeout(LONG, account.reserve(LARGE_BYTES, 0, None)).await;

    assert!(reserved.is_ok_and(|reserved| reserved.is_ok()));
}

#[tokio::test(start_paused = true)]
async fn idle_connections_give_way_after_incomplete_requests() {
    let account = account();
    let idle = account.open(LISTENER).await;
    advance(LONG).await;
    let incomplete = account.open(LISTENER).await;
    incomplete.record_received(1);
    advance(LONG).await;

    account.evict_one(LISTENER);

    assert!(is_evicted(&incomplete).await);
    assert!(!is_evicted(&idle).await);
}

/// Guards against connections that leave no room for their requests.
#[tokio::test(start_paused = true)]
async fn a_crowd_of_connections_leaves_room_for_requests() {
    let account = account();
    let mut crowd = Vec::new();
    while let Ok(connection) = timeout(LONG / 10, account.open(LISTENER)).await {
        connection.record_received(1);
        connection.begin_running();
        crowd.push(connection);
    }

    let check = timeout(LONG, account.open("ready")).await;
    let small = crowd[0].reserve(SMALL_BYTES, 0).await;
    let large = crowd[1].reserve(LARGE_BYTES, 0).await;

    assert!(crowd.len() >= 900, "{}", crowd.len());
    assert!(check.is_ok());
    assert!(small.is_ok() && large.is_ok());
}

#[tokio::test(start_paused = true)]
async fn running_calls_are_never_closed() {
    let account = account();
    let running = account.open(LISTENER).await;
    running.record_received(1);
    running.begin_running();
    advance(LONG).await;

    account.evict_one(LISTENER);

    assert!(!is_evicted(&running).await);
}

#[tokio::test(start_paused = true)]
async fn connections_of_other_listeners_keep_their_places() {
    let account = account();
    let other = account.open("ready").await;
    advance(LONG).await;

    account.evict_one(LISTENER);

    assert!(!is_evicted(&other).await);
}

/// Guards against room that is released while copies of the bytes still exist.
#[tokio::test(start_paused = true)]
async fn bytes_keep_their_room_until_the_last_copy_is_dropped() {
    let account = account();
    let connection = account.open(LISTENER).await;
    let reservation = connection.reserve(LARGE_BYTES, 0).await.expect("room");

    let used_bytes = || account.metrics().used_bytes.get();
    let bytes = reservation.attach_to(vec![0; 10]);
    let copy = bytes.clone();
    drop((bytes, connection));
    let with_copy = used_bytes();
    drop(copy);

    assert_eq!(with_copy, LARGE_BYTES as i64);
    assert_eq!(used_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn accepted_work_takes_room_from_requests() {
    let account = account();
    let lasting = LastingMemory::new(Arc::clone(&account));
    lasting.set(LARGE_MAX_BYTES);

    let large = open_large(&account).await;
    drop(lasting);
    let later = open_large(&account).await;

    assert!(large.is_none());
    assert!(later.is_some());
}

#[test]
fn the_memory_is_the_one_that_the_platform_reports() {
    let text = "MemFree:          1 kB\nMemTotal:   160000 kB\n";

    let memory: Result<MachineMemory, _> = text.parse();

    assert_eq!(memory.map(MachineMemory::bytes), Ok(163_840_000));
    assert!("MemFree: 1 kB".parse::<MachineMemory>().is_err());
}
