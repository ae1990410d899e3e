//! What every log does: the fake in memory and the HTTP adapter over the stand-in.

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
const LONG: Duration = Duration::from_secs(60);
const SHORT: Duration = Duration::from_millis(200);
const MANY: usize = 1_000;

/// One log under test, and how its retention is brought about.
struct Subject {
    name: &'static str,
    log: Arc<dyn Log>,
    memory: Option<(Arc<MemoryLog>, usize)>,
}

impl Subject {
    /// Drops what a log of this size does not keep; the stand-in does it by itself.
    fn retain(&self) {
        if let Some((log, records_max)) = &self.memory {
            log.retain_newest(*records_max);
        }
    }

    async fn append(&self, texts: &[&str]) -> Offset {
        let payloads: Vec<Box<str>> = texts.iter().map(|&text| text.into()).collect();
        let appended = self.log.append(STREAM, &payloads).await;
        self.retain();
        appended.expect(self.name)
    }

    async fn read(&self, from: u64, max_records: usize) -> LogPage {
        let read = self
            .log
            .read(STREAM, Offset(from), max_records, Duration::ZERO);
        read.await.expect(self.name)
    }
}

async fn start(handler: Arc<dyn Handler>) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, handler));
    address
}

/// Both logs, each keeping so many records of a stream.
async fn subjects(records_max: usize) -> [Subject; 2] {
    let memory = Arc::new(MemoryLog::default());
    let address = start(Arc::new(LogServer::new(records_max))).await;
    [
        Subject {
            name: "memory",
            log: memory.clone(),
            memory: Some((memory, records_max)),
        },
        Subject {
            name: "http",
            log: Arc::new(HttpLog::new(address, LONG)),
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
    for subject in subjects(MANY).await {
        let first = subject.append(&["a", "b"]).await;
        let second = subject.append(&["c"]).await;
        let page = subject.read(0, MANY).await;

        assert_eq!([first, second], [Offset(0), Offset(2)], "{}", subject.name);
        assert_eq!(texts(&page), ["a", "b", "c"], "{}", subject.name);
        assert_eq!(bounds(&page), (0, 3), "{}", subject.name);
        assert_eq!(page.validate(Offset(0)), Ok(()), "{}", subject.name);
    }
}

#[tokio::test]
async fn streams_are_apart() {
    for subject in subjects(MANY).await {
        subject.append(&["a"]).await;

        let other = subject.log.append("others", &["b".into()]).await;

        assert_eq!(other, Ok(Offset(0)), "{}", subject.name);
        assert_eq!(
            texts(&subject.read(0, MANY).await),
            ["a"],
            "{}",
            subject.name
        );
    }
}

#[tokio::test]
async fn a_stream_that_was_never_written_is_empty() {
    for subject in subjects(MANY).await {
        let page = subject.read(5, MANY).await;

        assert_eq!(page, LogPage::default(), "{}", subject.name);
    }
}

#[tokio::test]
async fn a_page_starts_where_asked_and_holds_no_more_than_asked() {
    let table: [(u64, usize, &[&str]); 6] = [
        (0, 2, &["a", "b"]),
        (1, 2, &["b", "c"]),
        (3, MANY, &["d"]),
        (4, MANY, &[]),
        (9, MANY, &[]),
        (u64::MAX, 1, &[]),
    ];
    for subject in subjects(MANY).await {
        subject.append(&["a", "b", "c", "d"]).await;
        for (from, max_records, expected) in table {
            let page = subject.read(from, max_records).await;

            assert_eq!(texts(&page), expected, "{} from {from}", subject.name);
            assert_eq!(bounds(&page), (0, 4), "{} from {from}", subject.name);
        }
    }
}

#[tokio::test]
async fn a_page_over_expired_records_starts_at_the_oldest_kept() {
    for subject in subjects(2).await {
        subject.append(&["a", "b"]).await;
        subject.append(&["c", "d", "e"]).await;

        let page = subject.read(1, MANY).await;
        let end = subject.read(5, MANY).await;

        assert_eq!(texts(&page), ["d", "e"], "{}", subject.name);
        assert_eq!(page.records[0].offset, Offset(3), "{}", subject.name);
        assert_eq!(bounds(&page), (3, 5), "{}", subject.name);
        assert_eq!(bounds(&end), (3, 5), "{}", subject.name);
    }
}

#[tokio::test]
async fn a_held_read_returns_when_something_is_appended() {
    for subject in subjects(MANY).await {
        let read = subject.log.read(STREAM, Offset(0), MANY, LONG);
        let append = async {
            tokio::task::yield_now().await;
            subject.append(&["a"]).await
        };

        let (page, _) = tokio::join!(read, append);

        assert_eq!(texts(&page.expect(subject.name)), ["a"], "{}", subject.name);
    }
}

#[tokio::test]
async fn a_held_read_of_nothing_ends_with_an_empty_page() {
    for subject in subjects(MANY).await {
        let read = subject.log.read(STREAM, Offset(0), MANY, SHORT);

        let page = read.await.expect(subject.name);

        assert_eq!(page, LogPage::default(), "{}", subject.name);
    }
}

#[tokio::test]
async fn appends_at_once_get_places_of_their_own() {
    for subject in subjects(MANY).await {
        let log = &subject.log;
        let append = |number: u32| async move {
            let pair = [format!("{number}-0").into(), format!("{number}-1").into()];
            (number, log.append(STREAM, &pair).await)
        };

        let appended = tokio::join!(append(0), append(1), append(2), append(3));

        let page = subject.read(0, MANY).await;
        for (number, offset) in [appended.0, appended.1, appended.2, appended.3] {
            let at = offset.expect(subject.name).0 as usize;
            let pair = [format!("{number}-0"), format!("{number}-1")];
            assert_eq!(texts(&page)[at..at + 2], pair, "{}", subject.name);
        }
    }
}

/// What calls to a log with a fault end with, and whether the record then stands.
struct FaultCase {
    fault: Fault,
    delay_ms: u64,
    timeout: Duration,
    append: Option<Verdict>,
    read: Option<Verdict>,
    stands: bool,
}

#[rustfmt::skip]
fn fault_cases() -> Vec<FaultCase> {
    let case = |fault, delay_ms, timeout, append, read, stands| {
        FaultCase { fault, delay_ms, timeout, append, read, stands }
    };
    let open = Some(Verdict::MayHaveRun);
    let not_run = Some(Verdict::NotRun);
    vec![
        case(Fault::None, 0, LONG, None, None, true),
        case(Fault::Slow, 50, LONG, None, None, true),
        case(Fault::Slow, 600_000, SHORT, open, open, false),
        case(Fault::Frozen, 0, SHORT, open, open, false),
        case(Fault::Down, 0, LONG, open, open, false),
        case(Fault::LoseAnswers, 0, LONG, open, open, true),
        case(Fault::Full, 0, LONG, not_run, not_run, false),
        case(Fault::FailFast, 0, LONG, open, open, false),
    ]
}

/// Reads the stand-in's first page past its faults.
async fn stored(server: &LogServer) -> LogPage {
    let path = format!("/streams/{STREAM}/records");
    let query = "from=0&max_records=9";
    let answer = server
        .handle(&Method::GET, &path, query, Bytes::new())
        .await;
    let body = read_body(answer.into_body(), MANY).await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn each_fault_ends_with_the_verdict_that_holds() {
    for case in fault_cases() {
        let name = format!("{} {}", case.fault, case.delay_ms);
        let server = Arc::new(LogServer::new(MANY));
        let log = HttpLog::new(start(server.clone()).await, case.timeout);
        server.faults().set(FaultBody {
            fault: case.fault,
            delay_ms: case.delay_ms,
        });

        let appended = log.append(STREAM, &["a".into()]).await;
        let read = log.read(STREAM, Offset(0), MANY, Duration::ZERO).await;

        let append_verdict = appended.err().map(|error| error.verdict);
        let read_verdict = read.err().map(|error| error.verdict);
        assert_eq!(append_verdict, case.append, "append, {name}");
        assert_eq!(read_verdict, case.read, "read, {name}");
        assert_eq!(
            stored(&server).await.records.len() == 1,
            case.stands,
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
    for (fault, verdict, stands) in table {
        let log = MemoryLog::default();
        log.set_fault(fault);

        let appended = log.append(STREAM, &["a".into()]).await;

        log.set_fault(LogFault::None);
        let page = log.read(STREAM, Offset(0), MANY, Duration::ZERO).await;
        assert_eq!(appended.map_err(|e| e.verdict), Err(verdict), "{fault}");
        assert_eq!(page.unwrap().records.len(), stands, "{fault}");
    }
}

#[tokio::test]
async fn a_log_that_takes_no_connection_did_not_run_anything() {
    let log = HttpLog::new("127.0.0.1:1".parse().unwrap(), LONG);

    let appended = log.append(STREAM, &["a".into()]).await;
    let read = log.read(STREAM, Offset(0), 1, Duration::ZERO).await;

    assert_eq!(appended.map_err(|e| e.verdict), Err(Verdict::NotRun));
    assert_eq!(read.map_err(|e| e.verdict), Err(Verdict::NotRun));
}

/// Answers every request with one body.
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

async fn answering(body: Value) -> HttpLog {
    let faults = FaultSwitch::default();
    let address = start(Arc::new(FixedAnswer { faults, body })).await;
    HttpLog::new(address, LONG)
}

fn page(offsets: &[u64], first_offset: u64, end_offset: u64) -> Value {
    let records = offsets
        .iter()
        .map(|at| json!({ "offset": at, "payload": "a" }));
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
        let log = answering(body.clone()).await;

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
        page(&[4, 6], 0, 7),
        page(&[5, 4], 0, 7),
        page(&[4, 4], 0, 7),
        page(&[3], 0, 7),
        page(&[5], 0, 7),
        page(&[4], 0, 4),
    ];
    for body in bodies {
        let log = answering(body.clone()).await;

        let read = log.read(STREAM, Offset(4), MANY, Duration::ZERO).await;

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
            for subject in subjects(MANY).await {
                for batch in &batches {
                    let batch: Vec<&str> = batch.iter().map(String::as_str).collect();
                    subject.append(&batch).await;
                }
                read.push(subject.read(0, MANY).await);
            }
            read
        });

        for page in read {
            prop_assert_eq!(texts(&page), batches.concat());
        }
    }
}
