//! What was sent, answered and run, with the time since the start of the test.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path).expect("a writable record")),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{now_ms:>7} ms  {line}");
    }
}
