use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::entry::CapacitySource;
use dotterelhook_jobs::model::FailureDomainName;

use crate::hosts::Process;
use crate::hosts::eventually;
use crate::memory_store::MemoryStore;

/// Several round trips between the processes.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Guards against a report that other hosts can't read, and against one from a host that is not the
/// owner.
#[tokio::test]
async fn capacity_of_a_cell_is_told_to_other_hosts_while_its_owner_lives() {
    let store = Arc::new(MemoryStore::default());
    let owner = Process::start(&store, "a", 1).await;
    eventually("a cell gets an owner", || owner.owns()).await;
    let other = Process::start(&store, "b", 1).await;
    let domain = FailureDomainName::from("laguna");
    let mut told = None;
    for _ in 0..50 {
        let report = other.owner_client.capacity(0, Some(&domain), TIMEOUT).await;
        told = report.ok();
        if told.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let own = owner.owner_client.capacity(0, Some(&domain), TIMEOUT).await;
    owner.kill().await;
    let after = other.owner_client.capacity(0, Some(&domain), TIMEOUT).await;

    assert_eq!(told, own.ok());
    assert!(told.is_some());
    assert!(after.is_err());
}
