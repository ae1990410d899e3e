use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_standins::log::LogServer;
use dotterelhook_standins::server::Answer;
use dotterelhook_standins::server::FaultSwitch;
use dotterelhook_standins::server::Handler;
use http_body_util::BodyExt;
use hyper::Method;

/// The log stand-in with counts of its calls.
pub(crate) struct CountedLog {
    log: LogServer,
    reads: AtomicU64,
    appends: AtomicU64,
    answer_bytes: AtomicU64,
    open_calls: AtomicU64,
}

/// The calls of a log so far, and the number of calls that are open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogCounts {
    pub(crate) reads: u64,
    pub(crate) appends: u64,
    pub(crate) answer_bytes: u64,
    pub(crate) open_calls: u64,
}

/// A guard that counts a call as open until the call ends or its connection breaks.
struct OpenCall<'a>(&'a AtomicU64);

impl<'a> OpenCall<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CountedLog {
    pub(crate) fn new() -> Self {
        Self {
            log: LogServer::new(1_000_000),
            reads: AtomicU64::new(0),
            appends: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(0),
            open_calls: AtomicU64::new(0),
        }
    }

    pub(crate) fn counts(&self) -> LogCounts {
        LogCounts {
            reads: self.reads.load(Ordering::Relaxed),
            appends: self.appends.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
            open_calls: self.open_calls.load(Ordering::Relaxed),
        }
    }
}

#[async_trait]
impl Handler for CountedLog {
    fn faults(&self) -> &FaultSwitch {
        self.log.faults()
    }

    async fn handle(&self, method: &Method, path: &str, query: &str, body: Bytes) -> Answer {
        let counter = if *method == Method::POST {
            &self.appends
        } else {
            &self.reads
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let open_call = OpenCall::new(&self.open_calls);
        let answer = self.log.handle(method, path, query, body).await;
        drop(open_call);
        let (head, body) = answer.into_parts();
        let whole = body.collect().await.expect("a whole body").to_bytes();
        self.answer_bytes
            .fetch_add(whole.len() as u64, Ordering::Relaxed);
        Answer::from_parts(head, whole.into())
    }
}
