//! A process fetches the configuration from a peer while the log does not deliver it.

mod fixture;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::log::LogFault;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_kernel::names;
use dotterelhook_peer::membership::FrameError;
use dotterelhook_peer::membership::decode;
use dotterelhook_peer::membership::encode;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use fixture::publish;
use fixture::start_process;
use fixture::state_of;
use fixture::wait_for_offset;
use fixture::wait_until;

const SETTLE_TIME: Duration = Duration::from_secs(3);

async fn log_with_jobs(jobs: u64) -> Arc<MemoryLog> {
    let log = Arc::new(MemoryLog::default());
    publish(&log, 0..jobs).await;
    log
}

fn unavailable_log() -> Arc<MemoryLog> {
    let log = Arc::new(MemoryLog::default());
    log.set_fault(LogFault::Down);
    log
}

#[tokio::test]
async fn with_neither_log_nor_peer_it_is_not_ready_and_says_why() {
    let process = start_process(unavailable_log(), "alone", Vec::new()).await;
    let closed_address = "127.0.0.1:1".parse().expect("an address");
    process.members.add("gone", closed_address, Offset(9));

    let reports_both_causes = || {
        let reason = process.view.unready_reason().unwrap_or_default();
        reason.contains("the log is down") && reason.contains("127.0.0.1:1")
    };
    wait_until(async || reports_both_causes()).await;

    assert!(!process.view.is_loaded());
}

#[tokio::test]
async fn with_the_log_down_at_start_a_seed_gives_the_configuration_with_its_offset() {
    let healthy = start_process(log_with_jobs(400).await, "healthy", Vec::new()).await;
    wait_for_offset(&*healthy.view, 400).await;

    let seeds = vec![healthy.peer_address];
    let started = start_process(unavailable_log(), "started", seeds).await;
    wait_until(async || started.view.is_loaded()).await;

    assert_eq!(*started.view.current(), state_of(400));
    assert_eq!(started.view.unready_reason(), None);
}

#[tokio::test]
async fn a_running_process_that_is_cut_off_from_the_log_follows_its_peers() {
    let log = log_with_jobs(5).await;
    let healthy = start_process(log.clone(), "healthy", Vec::new()).await;
    let cut_log = log_with_jobs(5).await;
    let cut_off = start_process(cut_log.clone(), "cut-off", Vec::new()).await;
    wait_for_offset(&*cut_off.view, 5).await;
    cut_log.set_fault(LogFault::Down);
    publish(&log, 5..9).await;
    wait_for_offset(&*healthy.view, 9).await;

    cut_off
        .members
        .add("healthy", healthy.peer_address, Offset(9));
    wait_for_offset(&*cut_off.view, 9).await;

    assert_eq!(*cut_off.view.current(), state_of(9));
}

/// Guards against a rollback by a peer that reports a newer offset than it serves.
#[tokio::test]
async fn a_peer_that_is_behind_changes_nothing_and_the_log_goes_on_from_there() {
    let behind = start_process(log_with_jobs(3).await, "behind", Vec::new()).await;
    wait_for_offset(&*behind.view, 3).await;
    let log = log_with_jobs(6).await;
    let process = start_process(log.clone(), "ahead", vec![behind.peer_address]).await;
    wait_for_offset(&*process.view, 6).await;
    process
        .members
        .add("behind", behind.peer_address, Offset(99));

    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(*process.view.current(), state_of(6));
    publish(&log, 6..7).await;
    wait_for_offset(&*process.view, 7).await;

    assert_eq!(*process.view.current(), state_of(7));
}

/// Guards against a rollback when the log returns with fewer records than a peer delivered.
#[tokio::test]
async fn what_a_peer_gave_stays_when_the_log_comes_back_behind_it() {
    let healthy = start_process(log_with_jobs(8).await, "healthy", Vec::new()).await;
    wait_for_offset(&*healthy.view, 8).await;
    let lagging_log = log_with_jobs(2).await;
    lagging_log.set_fault(LogFault::Down);
    let seeds = vec![healthy.peer_address];
    let process = start_process(lagging_log.clone(), "started", seeds).await;
    wait_for_offset(&*process.view, 8).await;

    lagging_log.set_fault(LogFault::None);
    tokio::time::sleep(SETTLE_TIME).await;

    assert_eq!(*process.view.current(), state_of(8));
}

/// Answers every call for the configuration with fixed bytes.
struct FixedAnswer(Bytes);

#[async_trait]
impl PeerHandler for FixedAnswer {
    async fn call(&self, _: Bytes) -> Result<Bytes, CallError> {
        Ok(self.0.clone())
    }
}

#[tokio::test]
async fn a_peer_with_malformed_answers_breaks_nothing() {
    let bad = start_process(log_with_jobs(1).await, "bad", Vec::new()).await;
    let handlers = bad
        .kernel
        .registry()
        .find::<PeerHandlers>(names::PEER_HANDLERS);
    let handlers = handlers.expect("the server provides them");
    let good = start_process(log_with_jobs(4).await, "good", Vec::new()).await;
    wait_for_offset(&*good.view, 4).await;
    let mut corrupt = encode(&(1_u8, 5_u64)).expect("encoded");
    *corrupt.last_mut().expect("a frame") ^= 1;
    let other_version = b"\x01\x07\x07".to_vec();
    let never_decoded = [Vec::new(), b"\x09".to_vec(), other_version, corrupt];
    // These pass the checks of the frame, so the decoder of the answer meets them.
    let malformed = [
        encode(&9_u8).expect("encoded"),
        encode(&(1_u8, 5_u64)).expect("encoded"),
        encode(&(1_u8, 5_u64, 0_u32, 1_u32, "{")).expect("encoded"),
    ];
    for frame in &malformed {
        let checked = decode::<(u64, u64, u64, u64)>(frame);
        assert!(
            matches!(checked, Err(FrameError::Malformed(_))),
            "{checked:?}"
        );
    }
    for frame in never_decoded.into_iter().chain(malformed) {
        handlers.add("config", Arc::new(FixedAnswer(frame.into())));
        let seeds = vec![bad.peer_address, good.peer_address];

        let started = start_process(unavailable_log(), "started", seeds).await;
        wait_until(async || started.view.is_loaded()).await;

        assert_eq!(*started.view.current(), state_of(4));
    }
}
