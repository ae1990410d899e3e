use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::hosts::Process;
use crate::hosts::eventually;
use crate::memory_store::MemoryStore;

#[tokio::test]
async fn whole_restart_the_owners_successor_claims_though_the_group_still_lists_the_dead() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;
    first.kill().await;
    second.kill().await;

    let third = Process::start(&store, "a", 2).await;

    eventually("the successor owns the cell", || third.owns()).await;
}

#[tokio::test]
async fn store_away_a_stopping_owner_acts_until_another_host_has_claimed() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;
    store.set_away(true);

    first.drain();
    sleep(Duration::from_millis(1_500)).await;
    let owns_while_away = first.owns();
    store.set_away(false);

    assert!(owns_while_away);
    eventually("the other host owns the cell", || second.owns()).await;
    first.handed_over().await;
}

#[tokio::test]
async fn many_hosts_an_owner_without_partitions_keeps_its_cell() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;

    store.give_all_to("b");
    let calls = store.owners_calls();
    eventually("the other host has looked three times", || {
        store.owners_calls() >= calls + 3 || second.owns()
    })
    .await;

    assert!(first.owns());
    assert!(!second.owns());
}
