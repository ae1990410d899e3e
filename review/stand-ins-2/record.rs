//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
    pub run: u32,
    pub executor: String,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub at_ms: u64,
    pub task: String,
}

struct Inner {
    file: File,
    starts: Vec<Start>,
    ends: Vec<Ended>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        let inner = Inner {
            file,
            starts: Vec::new(),
            ends: Vec::new(),
        };
        Self {
            began: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let line = format!("{:4}.{:03} {}\n", now / 1_000, now % 1_000, text.trim_end());
        let _ = self.inner.lock().unwrap().file.write_all(line.as_bytes());
    }

    pub fn start(&self, task: &str, run: u32, executor: &str) {
        let start = Start {
            at_ms: self.now_ms(),
            task: task.to_owned(),
            run,
            executor: executor.to_owned(),
        };
        self.inner.lock().unwrap().starts.push(start);
    }

    pub fn end(&self, task: &str) {
        let end = Ended {
            at_ms: self.now_ms(),
            task: task.to_owned(),
        };
        self.inner.lock().unwrap().ends.push(end);
    }

    pub fn starts(&self) -> Vec<Start> {
        self.inner.lock().unwrap().starts.clone()
    }

    pub fn ends(&self) -> Vec<Ended> {
        self.inner.lock().unwrap().ends.clone()
    }
}
