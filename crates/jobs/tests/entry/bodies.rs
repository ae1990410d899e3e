use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_jobs::config::ActiveConfig;
use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::config::QueueRoute;
use dotterelhook_jobs::entry::CapacityAdmission;
use dotterelhook_jobs::entry::CapacitySource;
use dotterelhook_jobs::entry::EntryHandler;
use dotterelhook_jobs::entry::EntrySettings;
use dotterelhook_jobs::entry::OwnerClient;
use dotterelhook_jobs::entry::RecentJobs;
use dotterelhook_jobs::entry::RecordForwarder;
use dotterelhook_jobs::entry::RecordRouter;
use dotterelhook_jobs::entry::RecordWriter;
use dotterelhook_jobs::entry::RoomAdmission;
use dotterelhook_jobs::entry::RoomSource;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::JobSpecError;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::observe::JobMetrics;
use dotterelhook_jobs::observe::OutcomeLabels;
use dotterelhook_jobs::ownership::OwnedCells;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::platform::CallKind;
use dotterelhook_jobs::platform::ClientCall;
use dotterelhook_jobs::platform::ClientProtocol;
use dotterelhook_jobs::platform::ClientReply;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::http::HttpServer;
use dotterelhook_peer::rpc::PeerClient;
use hyper::Response;
use hyper::http::request::Parts;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fake_store::FakeStore;

const BODY_MAX_BYTES: usize = 1_000;

/// A protocol in which each call is a submission, and only one body is a job.
struct SubmitOnly;

impl ClientProtocol for SubmitOnly {
    fn decode_head(&self, head: &Parts) -> ClientCall {
        ClientCall {
            kind: CallKind::Submit,
            host: "a.example".into(),
            path: head.uri.path().into(),
            wait: None,
        }
    }

    fn decode_job(&self, body: &[u8]) -> Result<JobSpec, JobSpecError> {
        if body == LARGE_JOB {
            return Ok(JobSpec {
                payload: "x".repeat(LARGE_PAYLOAD_BYTES).into(),
                steps: vec![StepSpec::default()],
                schedule: None,
            });
        }
        Err(JobSpecError::new("no job"))
    }

    fn encode(&self, _: &ClientReply) -> Response<Bytes> {
        Response::new(Bytes::new())
    }
}

fn config() -> DeploymentConfig {
    let queue = QueueConfig {
        name: "plans".into(),
        service: "desk".into(),
        priority: 0,
        attempts_max: 3,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
    };
    let route = QueueRoute {
        host: "a.example".into(),
        path_prefix: "/".into(),
        timeout: Duration::from_secs(30),
        queue: Arc::new(queue),
    };
    DeploymentConfig::new(1, BODY_MAX_BYTES, vec![route], HashMap::new())
}

/// Starts the entry point over a store that takes everything.
async fn start_entry(kernel: &Kernel) -> (SocketAddr, JobMetrics) {
    let store: Arc<dyn Store> = FakeStore::with_outcomes(&[]);
    let health = Arc::new(StoreHealth::default());
    let writer = Arc::new(RecordWriter::new(Arc::clone(&store), health));
    let owner_client = Arc::new(OwnerClient::new(
        Arc::new(OwnedCells::default()),
        Arc::new(OwnerDirectory::new(store, 1)),
        Arc::new(PeerClient::default()),
        1,
        &kernel.memory(),
    ));
    let active = Arc::new(ActiveConfig::default());
    active.activate_if_newer(config());
    let metrics = JobMetrics::default();
    let capacity = CapacityAdmission::new(
        Arc::clone(&owner_client) as Arc<dyn CapacitySource>,
        Arc::clone(&writer),
        None,
        1,
        EntrySettings::default(),
    );
    let forwarder = Arc::clone(&owner_client) as Arc<dyn RecordForwarder>;
    let entry = Arc::new(EntryHandler {
        protocol: Arc::new(SubmitOnly),
        config: active,
        records: RecordRouter::new(Arc::clone(&writer), forwarder),
        writer,
        settings: EntrySettings::default(),
        capacity,
        room: RoomAdmission::new(
            Arc::clone(&owner_client) as Arc<dyn RoomSource>,
            EntrySettings::default().query_timeout,
        ),
        owner_client,
        cell_count: 1,
        metrics: metrics.clone(),
        recent: Mutex::new(RecentJobs::new(Duration::from_secs(10))),
    });
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind("entry", any_port, 8, entry);
    let server = server.await.expect("a free port");
    let address = server.local_address();
    server.spawn(kernel);
    (address, metrics)
}

/// The body of a job whose record is larger than the store takes.
const LARGE_JOB: &[u8] = b"large";
const LARGE_PAYLOAD_BYTES: usize = 300_000;

/// Sends a submission with a body of the announced length, or the begin of one.
async fn send(address: SocketAddr, announced_bytes: usize, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    let head = format!(
        "POST /0000000000000001 HTTP/1.1\r\nhost: x\r\ncontent-length: {announced_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(body).await.expect("sent");
    stream
}

fn count(metrics: &JobMetrics, outcome: &'static str) -> u64 {
    let kind = "submit";
    let calls = &metrics.calls;
    calls.get_or_create(&OutcomeLabels { kind, outcome }).get()
}

/// Guards against clients that left and are taken for clients that send rubbish.
#[tokio::test]
async fn a_body_that_breaks_off_is_not_done_and_one_over_the_limit_is_malformed() {
    let kernel = Kernel::default();
    let (address, metrics) = start_entry(&kernel).await;

    drop(send(address, 10, b"abc").await);
    let _no_job = send(address, 10, b"0123456789").await;
    let too_long = vec![b'x'; BODY_MAX_BYTES + 1];
    let _too_long = send(address, too_long.len(), &too_long).await;
    for _ in 0..400 {
        if count(&metrics, "malformed") + count(&metrics, "not-done") == 3 {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }

    assert_eq!(count(&metrics, "not-done"), 1);
    assert_eq!(count(&metrics, "malformed"), 2);
}

/// Guards against a client that is told to return with a job that the store never takes.
#[tokio::test]
async fn a_job_too_large_for_the_store_is_refused_for_its_size() {
    let kernel = Kernel::default();
    let (address, metrics) = start_entry(&kernel).await;

    let _large = send(address, LARGE_JOB.len(), LARGE_JOB).await;
    for _ in 0..400 {
        if count(&metrics, "too-large") + count(&metrics, "not-done") == 1 {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }

    assert_eq!(count(&metrics, "too-large"), 1);
}
