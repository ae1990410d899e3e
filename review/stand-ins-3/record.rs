//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
            file: Mutex::new(file),
        }
    }

    /// Adds a line with the seconds since the test began.
    pub fn add(&self, line: String) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("no panic"), "{at:8.3} {line}");
        self.lines.lock().expect("no panic").push((at, line));
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Returns the lines that begin with a text, with their times.
    pub fn lines(&self, prefix: &str) -> Vec<(f64, String)> {
        let lines = self.lines.lock().expect("no panic");
        lines
            .iter()
            .filter(|(_, line)| line.starts_with(prefix))
            .cloned()
            .collect()
    }
}
