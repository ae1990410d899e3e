use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::Partition;
use dotterelhook_jobs::platform::Store;
use dotterelhook_types::sizes::CpuMilli;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::hosts::Process;
use crate::hosts::eventually;
use crate::hosts::request_claim;
use crate::memory_store::MemoryStore;

/// Waits until the hosts have checked for vacant cells often enough to see a changed assignment.
async fn wait_for_vacancy_checks(store: &MemoryStore) {
    let reads = store.full_reads_of("keyed.owners");
    eventually("hosts check for vacant cells", || {
        store.full_reads_of("keyed.owners") >= reads + 10
    })
    .await;
}

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
    first.wait_for_handover().await;
}

#[tokio::test]
async fn many_hosts_an_owner_without_partitions_keeps_its_cell() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;

    store.assign_all_to("b");
    wait_for_vacancy_checks(&store).await;

    assert!(first.owns());
    assert!(!second.owns());
}

#[tokio::test]
async fn an_owner_that_acts_no_more_is_replaced_though_it_stays_a_member() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;
    store.assign_first_to("b");
    wait_for_vacancy_checks(&store).await;

    let owner = first.owned_cells.find(0).expect("an owner");
    owner.release("the store rejected an append");

    eventually("the other host owns the cell", || second.owns()).await;
}

#[tokio::test]
async fn whole_restart_hosts_that_claim_at_once_end_with_one_owner() {
    let store = Arc::new(MemoryStore::default());
    let mut processes = Vec::new();
    for host in ["a", "b", "c", "d"] {
        processes.push(Process::start(&store, host, 1).await);
    }
    eventually("a cell gets an owner", || {
        processes.iter().any(Process::owns)
    })
    .await;

    store.set_latency(Duration::from_millis(60));
    let mut claims = JoinSet::new();
    for process in &processes {
        claims.spawn(request_claim(process.address));
    }
    claims.join_all().await;

    let owners = || processes.iter().filter(|process| process.owns()).count();
    eventually("one host owns the cell", || owners() == 1).await;
    let epoch = store.newest_epoch();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(owners(), 1);
    assert_eq!(
        store.newest_epoch(),
        epoch,
        "no host claims a cell from a live owner"
    );
}

#[tokio::test]
async fn mixed_hosts_a_cell_goes_to_a_strong_host_that_holds_no_partitions() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let strong = Process::start_on(&store, "b", 1, CpuMilli(500)).await;
    let weak = Process::start(&store, "c", 1).await;
    store.assign_all_to("c");
    eventually("all hosts are known", || store.len_of("keyed.hosts") == 3).await;

    first.drain();

    eventually("another host owns the cell", || {
        strong.owns() || weak.owns()
    })
    .await;
    assert!(strong.owns());
}

/// Guards against a stopping owner that finds no successor, because hosts that have left for good are
/// still registered and would be preferred.
#[tokio::test]
async fn a_stopping_owner_finds_a_successor_behind_hosts_that_have_left() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;
    let left = (0..12).map(|number| KeyedRecord {
        key: format!("left-{number}").into(),
        value: format!("left-{number}/1@127.0.0.1:1#900").into(),
    });
    let registry = Partition {
        topic: "keyed.hosts",
        number: 0,
    };
    let left: Vec<_> = left.collect();
    let registered = store.append(registry, &left, None).await;
    registered.expect("registered");
    eventually("all hosts are known", || store.len_of("keyed.hosts") >= 14).await;

    first.drain();

    eventually("the other host owns the cell", || second.owns()).await;
    first.wait_for_handover().await;
}

/// Guards against a cell that ends with its process: the process begins to stop while its claim is in
/// progress, and has nothing to hand over yet.
#[tokio::test]
async fn a_claim_that_ends_while_the_process_stops_is_handed_over() {
    let store = Arc::new(MemoryStore::default());
    let first = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || first.owns()).await;
    let second = Process::start(&store, "b", 1).await;
    eventually("all hosts are known", || store.len_of("keyed.hosts") >= 2).await;
    let epoch = store.newest_epoch();
    store.set_latency(Duration::from_millis(100));
    let owned_by_second = Arc::clone(&second.owned_cells);

    let claim = tokio::spawn(request_claim(second.address));
    eventually("the claim is in progress", || store.newest_epoch() > epoch).await;
    second.drain();
    second.wait_for_handover().await;
    claim.await.expect("no panic");
    sleep(Duration::from_millis(500)).await;

    assert!(
        owned_by_second.find(0).is_none(),
        "an owner in an ended process"
    );
    eventually("the other host owns the cell", || first.owns()).await;
}
