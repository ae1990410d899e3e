use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::ownership::submission_partition_at;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::StoreError;
use tokio::time::Instant;

use crate::hosts::Process;
use crate::hosts::eventually;
use crate::memory_store::MemoryStore;

/// The latency of a slow store; well above the threshold of `StoreHealth`.
const SLOW_LATENCY: Duration = Duration::from_millis(100);

/// The time that a client waits for an answer.
const CLIENT_WAIT: Duration = Duration::from_secs(3);

async fn store_records(process: &Process, count: u32) -> Vec<Result<(), StoreError>> {
    let mut stored = Vec::new();
    for number in 0..count {
        let record = KeyedRecord {
            key: number.to_string().into(),
            value: "1".into(),
        };
        let deadline = Instant::now() + CLIENT_WAIT;
        stored.push(
            process
                .records
                .store(0, submission_partition_at(0), record, deadline)
                .await,
        );
    }
    stored
}

/// Starts a process that owns the cell and another one, then slows the store down until the other
/// process measures it as slow.
async fn owner_and_other_at_a_slow_store() -> (Process, Process) {
    let store = Arc::new(MemoryStore::default());
    let owner = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || owner.owns()).await;
    let other = Process::start(&store, "b", 1).await;
    store_records(&other, 1).await;
    store.set_latency(SLOW_LATENCY);
    eventually("the store seems slow", || other.sees_slow_store()).await;
    (owner, other)
}

#[tokio::test]
async fn slow_store_records_go_through_the_owner_that_gathers_them() {
    let (_owner, other) = owner_and_other_at_a_slow_store().await;
    let before = other.append_count();

    let stored = store_records(&other, 3).await;

    assert_eq!(stored, [Ok(()), Ok(()), Ok(())]);
    assert_eq!(other.append_count(), before);
}

#[tokio::test]
async fn slow_store_without_an_owner_records_are_stored_from_here() {
    let (owner, other) = owner_and_other_at_a_slow_store().await;
    owner.kill().await;

    let stored = store_records(&other, 1).await;

    assert_eq!(stored, [Ok(())]);
}

#[tokio::test]
async fn slow_store_that_refuses_makes_no_record_seem_stored() {
    let store = Arc::new(MemoryStore::default());
    let process = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || process.owns()).await;
    store.set_latency(SLOW_LATENCY);
    eventually("the store seems slow", || process.sees_slow_store()).await;
    store.set_away(true);

    let stored = store_records(&process, 1).await;

    assert!(matches!(stored[..], [Err(StoreError::NotDone(_))]));
}

/// Guards against an append that is repeated so shortly before the deadline that its refusal comes too
/// late, so that the caller is told that the record may be stored.
#[tokio::test]
async fn slow_store_refuses_in_time_whatever_its_latency() {
    let mut results = Vec::new();
    for latency_ms in [110, 130, 150] {
        let store = Arc::new(MemoryStore::default());
        let process = Process::start(&store, "a", 1).await;
        eventually("a cell gets an owner", || process.owns()).await;
        store.set_latency(Duration::from_millis(latency_ms));
        eventually("the store seems slow", || process.sees_slow_store()).await;
        store.set_away(true);

        results.extend(store_records(&process, 1).await);
    }

    let is_refusal =
        |result: &Result<(), StoreError>| matches!(result, Err(StoreError::NotDone(_)));
    assert!(results.iter().all(is_refusal), "{results:?}");
}
