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

/// The log's stand-in with a count of what is asked of it.
pub(crate) struct CountedLog {
    log: LogServer,
    reads: AtomicU64,
    appends: AtomicU64,
    answer_bytes: AtomicU64,
    held: AtomicU64,
}

/// What the log was asked so far, and what it holds now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogCounts {
    pub(crate) reads: u64,
    pub(crate) appends: u64,
    pub(crate) answer_bytes: u64,
    pub(crate) held: u64,
}

impl CountedLog {
    /// Creates an empty log.
    pub(crate) fn new() -> Self {
        Self {
            log: LogServer::new(1_000_000),
            reads: AtomicU64::new(0),
            appends: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(0),
            held: AtomicU64::new(0),
        }
    }

    /// Returns the counts of this moment.
    pub(crate) fn counts(&self) -> LogCounts {
        LogCounts {
            reads: self.reads.load(Ordering::Relaxed),
            appends: self.appends.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
            held: self.held.load(Ordering::Relaxed),
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
        self.held.fetch_add(1, Ordering::Relaxed);
        let answer = self.log.handle(method, path, query, body).await;
        self.held.fetch_sub(1, Ordering::Relaxed);
        let (head, body) = answer.into_parts();
        let whole = body.collect().await.expect("a whole body").to_bytes();
        self.answer_bytes
            .fetch_add(whole.len() as u64, Ordering::Relaxed);
        Answer::from_parts(head, whole.into())
    }
}
