use std::sync::Arc;

use dotterelhook_jobs::ownership::MemberName;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::ownership::OwnerRecord;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::platform::StoreError;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;

use crate::memory_store::MemoryStore;

fn owner(host: &str, epoch: u64) -> OwnerRecord {
    OwnerRecord {
        epoch: Epoch(epoch),
        member: MemberName {
            host: host.into(),
            incarnation: Incarnation(1),
            address: ([127, 0, 0, 1], 9_000).into(),
            cpu_milli: CpuMilli(100),
        },
    }
}

/// Guards against hosts that start later and take a replaced owner for the present one.
#[tokio::test]
async fn an_owner_that_publishes_itself_late_does_not_replace_a_later_one() {
    let store: Arc<dyn Store> = Arc::new(MemoryStore::default());
    let directory = OwnerDirectory::new(Arc::clone(&store), 2);
    directory
        .publish(0, &owner("b", 2))
        .await
        .expect("published");

    let late = directory.publish(0, &owner("a", 1)).await;
    let of_other_cell = directory.publish(1, &owner("c", 1)).await;
    let started_later = OwnerDirectory::new(store, 2);
    started_later.refresh().await.expect("read");

    assert_eq!(late, Err(StoreError::Fenced));
    assert_eq!(of_other_cell, Ok(()));
    assert_eq!(started_later.owner(0), Some(owner("b", 2)));
    assert_eq!(started_later.owner(1), Some(owner("c", 1)));
}
