use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_jobs::entry::OwnerClient;
use dotterelhook_jobs::entry::RecordForwarder;
use dotterelhook_jobs::ownership::MemberName;
use dotterelhook_jobs::ownership::OwnedCells;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::ownership::OwnerRecord;
use dotterelhook_jobs::ownership::submission_partition_at;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::Store;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_kernel::names;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_peer::rpc::PeerLimits;
use dotterelhook_peer::rpc::PeerServer;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;
use tokio::net::TcpListener;

use crate::memory_store::MemoryStore;

/// An owner of another version, which stores each record and answers in another layout.
struct OtherVersion;

#[async_trait]
impl PeerHandler for OtherVersion {
    async fn call(&self, _: Bytes) -> Result<Bytes, CallError> {
        Ok(Bytes::from_static(&[2, 0]))
    }
}

/// Starts an owner that answers in another layout, and returns a client that knows it.
async fn client_of_other_version(kernel: &Kernel) -> OwnerClient {
    let registry = kernel.registry();
    registry.provide::<Metrics>(names::METRICS, Arc::default());
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let server = PeerServer::with_listener(listener, PeerLimits::default());
    let started = kernel.start(Box::new(server)).await;
    started.expect("a peer server");
    let handlers = registry.find::<PeerHandlers>(names::PEER_HANDLERS);
    let handlers = handlers.expect("a running peer server");
    handlers.add("store-record", Arc::new(OtherVersion));
    let store: Arc<dyn Store> = Arc::new(MemoryStore::default());
    let directory = Arc::new(OwnerDirectory::new(store, 1));
    let owner = OwnerRecord {
        epoch: Epoch(1 << 16),
        member: MemberName {
            host: "a".into(),
            incarnation: Incarnation(1),
            address,
            cpu_milli: CpuMilli(100),
        },
    };
    directory.publish(0, &owner).await.expect("published");
    OwnerClient::new(
        Arc::new(OwnedCells::default()),
        directory,
        Arc::default(),
        1,
        &MemoryAccount::new(MachineMemory::from_megabytes(160)),
    )
}

/// Guards against a client that is told that its job was not taken, although the owner has stored it.
#[tokio::test]
async fn an_unreadable_answer_of_an_owner_does_not_say_that_nothing_is_stored() {
    let kernel = Kernel::default();
    let client = client_of_other_version(&kernel).await;
    let record = KeyedRecord {
        key: "0000000000000001".into(),
        value: "1".into(),
    };

    let timeout = Duration::from_secs(5);
    let forwarded = client.forward(0, submission_partition_at(0), &record, timeout);

    let verdict = forwarded.await.expect_err("an unreadable answer").verdict;
    assert_eq!(verdict, Verdict::MayHaveRun);
}
