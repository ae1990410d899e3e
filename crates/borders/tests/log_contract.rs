//! Contract tests of the log, for the in-memory fake and the HTTP client with a stand-in server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_borders::http::json_answer;
use dotterelhook_borders::http::read_body;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::LogFault;
use dotterelhook_borders::log::LogPage;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Answer;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::FaultSwitch;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::Offset;
use hyper::Method;
use hyper::StatusCode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

const STREAM: &str = "things";
/// Far longer than an answer takes, even on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// For calls that time out and long polls that end without a record on purpose.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// A limit on records or bytes that no test reaches.
const UNREACHED_LIMIT: usize = 1_000;

/// A log under test. `memory` is the fake and its retention limit, if the log is a fake.
struct LogUnderTest {
    name: &'static str,
    log: Arc<dyn Log>,
    memory: Option<(Arc<MemoryLog>, usize)>,
}

impl LogUnderTest {
    /// Applies the retention limit to the fake. The stand-in server applies its own.
    fn apply_retention(&self) {
        if let Some((log, records_max)) = &self.memory {
            log.retain_newest(*records_max);
        }
    }

    async fn append(&self, texts: &[&str]) -> Offset {
        let payloads: Vec<Box<str>> = texts.iter().map(|&text| text.into()).collect();
        let appended = self.log.append(STREAM, &payloads).await;
        self.apply_retention();
        appended.expect(self.name)
    }

    async fn read(&self, from: u64, max_records: usize) -> LogPage {
        let read = self
            .log
            .read(STREAM, Offset(from), max_records, Duration::ZERO);
        read.await.expect(self.name)
    }
}

async fn start_server(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handler));
    address
}

/// Creates both logs with the same retention limit per stream.
async fn logs(records_max: usize) -> [LogUnderTest; 2] {
    let memory = Arc::new(MemoryLog::default());
    let address = start_server(Arc::new(LogServer::new(records_max))).await;
    [
        LogUnderTest {
            name: "memory",
            log: memory.clone(),
            memory: Some((memory, records_max)),
        },
        LogUnderTest {
            name: "http",
            log: Arc::new(HttpLog::new(address, LONG_TIMEOUT)),
            memory: None,
        },
    ]
}

fn texts(page: &LogPage) -> Vec<&str> {
    page.records.iter().map(|record| &*record.payload).collect()
}

fn bounds(page: &LogPage) -> (u64, u64) {
    (page.first_offset.0, page.end_offset.0)
}

#[tokio::test]
async fn records_get_offsets_that_grow_by_one() {
    for tested in logs(UNREACHED_LIMIT).await {
        let first = tested.append(&["a", "b"]).await;
        let second = tested.append(&["c"]).await;
        let page = tested.read(0, UNREACHED_LIMIT).await;

        assert_eq!([first, second], [Offset(0), Offset(2)], "{}", tested.name);
        assert_eq!(texts(&page), ["a", "b", "c"], "{}", tested.name);
        assert_eq!(bounds(&page), (0, 3), "{}", tested.name);
        assert_eq!(page.validate(Offset(0)), Ok(()), "{}", tested.name);
    }
}

#[tokio::test]
async fn streams_are_apart() {
    for tested in logs(UNREACHED_LIMIT).await {
        tested.append(&["a"]).await;

        let other = tested.log.append("others", &["b".into()]).await;

        assert_eq!(other, Ok(Offset(0)), "{}", tested.name);
        assert_eq!(
            texts(&tested.read(0, UNREACHED_LIMIT).await),
            ["a"],
            "{}",
            tested.name
        );
    }
}

#[tokio::test]
async fn a_stream_that_was_never_written_is_empty() {
    for tested in logs(UNREACHED_LIMIT).await {
        let page = tested.read(5, UNREACHED_LIMIT).await;

        assert_eq!(page, LogPage::default(), "{}", tested.name);
    }
}

#[tokio::test]
async fn a_page_starts_where_asked_and_holds_no_more_than_asked() {
    let table: [(u64, usize, &[&str]); 6] = [
        (0, 2, &["a", "b"]),
        (1, 2, &["b", "c"]),
        (3, UNREACHED_LIMIT, &["d"]),
        (4, UNREACHED_LIMIT, &[]),
        (9, UNREACHED_LIMIT, &[]),
        (u64::MAX, 1, &[]),
    ];
    for tested in logs(UNREACHED_LIMIT).await {
        tested.append(&["a", "b", "c", "d"]).await;
        for (from, max_records, expected) in table {
            let page = tested.read(from, max_records).await;

            assert_eq!(texts(&page), expected, "{} from {from}", tested.name);
            assert_eq!(bounds(&page), (0, 4), "{} from {from}", tested.name);
        }
    }
}

#[tokio::test]
async fn a_page_over_expired_records_starts_at_the_oldest_kept() {
    for tested in logs(2).await {
        tested.append(&["a", "b"]).await;
        tested.append(&["c", "d", "e"]).await;

        let page = tested.read(1, UNREACHED_LIMIT).await;
        let end = tested.read(5, UNREACHED_LIMIT).await;

        assert_eq!(texts(&page), ["d", "e"], "{}", tested.name);
        assert_eq!(page.records[0].offset, Offset(3), "{}", tested.name);
        assert_eq!(bounds(&page), (3, 5), "{}", tested.name);
        assert_eq!(bounds(&end), (3, 5), "{}", tested.name);
    }
}

#[tokio::test]
async fn a_held_read_returns_when_something_is_appended() {
    for tested in logs(UNREACHED_LIMIT).await {
        let read = tested
            .log
            .read(STREAM, Offset(0), UNREACHED_LIMIT, LONG_TIMEOUT);
        let append = async {
            tokio::task::yield_now().await;
            tested.append(&["a"]).await
        };

        let (page, _) = tokio::join!(read, append);

        assert_eq!(texts(&page.expect(tested.name)), ["a"], "{}", tested.name);
    }
}

#[tokio::test]
async fn a_held_read_of_nothing_ends_with_an_empty_page() {
    for tested in logs(UNREACHED_LIMIT).await {
        let read = tested
            .log
            .read(STREAM, Offset(0), UNREACHED_LIMIT, SHORT_TIMEOUT);

        let page = read.await.expect(tested.name);

        assert_eq!(page, LogPage::default(), "{}", tested.name);
    }
}

#[tokio::test]
async fn appends_at_once_get_places_of_their_own() {
    for tested in logs(UNREACHED_LIMIT).await {
        let log = &tested.log;
        let append = |number: u32| async move {
            let pair = [format!("{number}-0").into(), format!("{number}-1").into()];
            (number, log.append(STREAM, &pair).await)
        };

        let appended = tokio::join!(append(0), append(1), append(2), append(3));

        let page = tested.read(0, UNREACHED_LIMIT).await;
        for (number, offset) in [appended.0, appended.1, appended.2, appended.3] {
            let start = offset.expect(tested.name).0 as usize;
            let pair = [format!("{number}-0"), format!("{number}-1")];
            assert_eq!(texts(&page)[start..start + 2], pair, "{}", tested.name);
        }
    }
}

/// A fault with the expected verdicts of calls and whether the appended record is then stored.
struct FaultCase {
    fault: Fault,
    delay_ms: u64,
    timeout: Duration,
    append: Option<Verdict>,
    read: Option<Verdict>,
    is_stored: bool,
}

#[rustfmt::skip]
fn fault_cases() -> Vec<FaultCase> {
    let case = |fault, delay_ms, timeout, append, read, is_stored| {
        FaultCase { fault, delay_ms, timeout, append, read, is_stored }
    };
    let may_have_run = Some(Verdict::MayHaveRun);
    let not_run = Some(Verdict::NotRun);
    vec![
        case(Fault::None, 0, LONG_TIMEOUT, None, None, true),
        case(Fault::Slow, 50, LONG_TIMEOUT, None, None, true),
        case(Fault::Slow, 600_000, SHORT_TIMEOUT, may_have_run, may_have_run, false),
        case(Fault::Frozen, 0, SHORT_TIMEOUT, may_have_run, may_have_run, false),
        case(Fault::Down, 0, LONG_TIMEOUT, may_have_run, may_have_run, false),
        case(Fault::LoseAnswers, 0, LONG_TIMEOUT, may_have_run, may_have_run, true),
        case(Fault::Full, 0, LONG_TIMEOUT, not_run, not_run, false),
        case(Fault::FailFast, 0, LONG_TIMEOUT, may_have_run, may_have_run, false),
    ]
}

/// Reads the first page directly from the stand-in, bypassing its faults.
async fn read_stored(server: &LogServer) -> LogPage {
    let path = format!("/streams/{STREAM}/records");
    let query = "from=0&max_records=9";
    let answer = server
        .handle(&Method::GET, &path, query, Bytes::new())
        .await;
    let body = read_body(answer.into_body(), UNREACHED_LIMIT)
        .await
        .unwrap();
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn each_fault_ends_with_the_verdict_that_holds() {
    for case in fault_cases() {
        let name = format!("{} {}", case.fault, case.delay_ms);
        let server = Arc::new(LogServer::new(UNREACHED_LIMIT));
        let log = HttpLog::new(start_server(server.clone()).await, case.timeout);
        server.faults().set(FaultBody {
            fault: case.fault,
            delay_ms: case.delay_ms,
        });

        let appended = log.append(STREAM, &["a".into()]).await;
        let read = log
            .read(STREAM, Offset(0), UNREACHED_LIMIT, Duration::ZERO)
            .await;

        let append_verdict = appended.err().map(|error| error.verdict);
        let read_verdict = read.err().map(|error| error.verdict);
        assert_eq!(append_verdict, case.append, "append, {name}");
        assert_eq!(read_verdict, case.read, "read, {name}");
        assert_eq!(
            read_stored(&server).await.records.len() == 1,
            case.is_stored,
            "{name}"
        );
    }
}

#[tokio::test]
async fn a_fake_with_a_fault_gives_the_verdict_that_holds() {
    let table = [
        (LogFault::Down, Verdict::NotRun, 0),
        (LogFault::LoseAnswers, Verdict::MayHaveRun, 1),
    ];
    for (fault, verdict, stored_count) in table {
        let log = MemoryLog::default();
        log.set_fault(fault);

        let appended = log.append(STREAM, &["a".into()]).await;

        log.set_fault(LogFault::None);
        let page = log
            .read(STREAM, Offset(0), UNREACHED_LIMIT, Duration::ZERO)
            .await;
        assert_eq!(appended.map_err(|e| e.verdict), Err(verdict), "{fault}");
        assert_eq!(page.unwrap().records.len(), stored_count, "{fault}");
    }
}

#[tokio::test]
async fn a_log_that_takes_no_connection_did_not_run_anything() {
    let log = HttpLog::new("127.0.0.1:1".parse().unwrap(), LONG_TIMEOUT);

    let appended = log.append(STREAM, &["a".into()]).await;
    let read = log.read(STREAM, Offset(0), 1, Duration::ZERO).await;

    assert_eq!(appended.map_err(|e| e.verdict), Err(Verdict::NotRun));
    assert_eq!(read.map_err(|e| e.verdict), Err(Verdict::NotRun));
}

/// A server that answers every request with the same body.
struct FixedAnswer {
    faults: FaultSwitch,
    body: Value,
}

#[async_trait]
impl Handler for FixedAnswer {
    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    async fn handle(&self, _: &Method, _: &str, _: &str, _: Bytes) -> Answer {
        json_answer(StatusCode::OK, &self.body)
    }
}

async fn log_with_answer(body: Value) -> HttpLog {
    let faults = FaultSwitch::default();
    let address = start_server(Arc::new(FixedAnswer { faults, body })).await;
    HttpLog::new(address, LONG_TIMEOUT)
}

fn page_body(offsets: &[u64], first_offset: u64, end_offset: u64) -> Value {
    let records = offsets
        .iter()
        .map(|offset| json!({ "offset": offset, "payload": "a" }));
    let records: Vec<Value> = records.collect();
    json!({ "records": records, "first_offset": first_offset, "end_offset": end_offset })
}

#[tokio::test]
async fn answers_to_an_append_that_make_no_sense_leave_it_open() {
    let bodies = [
        json!(null),
        json!([]),
        json!({}),
        json!({ "first_offset": "x" }),
        json!({ "first_offset": -1 }),
    ];
    for body in bodies {
        let log = log_with_answer(body.clone()).await;

        let appended = log.append(STREAM, &["a".into()]).await;

        let verdict = appended.map_err(|error| error.verdict);
        assert_eq!(verdict, Err(Verdict::MayHaveRun), "{body}");
    }
}

#[tokio::test]
async fn answers_to_a_read_that_make_no_sense_are_errors() {
    let bodies = [
        json!(null),
        json!([]),
        json!({}),
        json!({ "records": 1, "first_offset": 0, "end_offset": 1 }),
        json!({ "records": [{ "offset": "x" }], "first_offset": 0, "end_offset": 1 }),
        page_body(&[4, 6], 0, 7),
        page_body(&[5, 4], 0, 7),
        page_body(&[4, 4], 0, 7),
        page_body(&[3], 0, 7),
        page_body(&[5], 0, 7),
        page_body(&[4], 0, 4),
    ];
    for body in bodies {
        let log = log_with_answer(body.clone()).await;

        let read = log
            .read(STREAM, Offset(4), UNREACHED_LIMIT, Duration::ZERO)
            .await;

        let verdict = read.map_err(|error| error.verdict);
        assert_eq!(verdict, Err(Verdict::MayHaveRun), "{body}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn texts_come_back_as_they_were(batches in prop::collection::vec(
        prop::collection::vec("\\PC{0,40}|[\"\\\\\n\t\u{1}]{1,8}", 1..5), 1..6,
    )) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let read = runtime.block_on(async {
            let mut read = Vec::new();
            for tested in logs(UNREACHED_LIMIT).await {
                for batch in &batches {
                    let batch: Vec<&str> = batch.iter().map(String::as_str).collect();
                    tested.append(&batch).await;
                }
                read.push(tested.read(0, UNREACHED_LIMIT).await);
            }
            read
        });

        for page in read {
            prop_assert_eq!(texts(&page), batches.concat());
        }
    }
}
