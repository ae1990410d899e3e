use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The lines that wait to be written at most; more are dropped and counted.
const BUFFER_MAX_BYTES: usize = 512 << 10;
/// The time between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Takes log lines without ever waiting for the standard output.
///
/// A thread of its own writes them; if the reader of the output is slow, lines are dropped, and a
/// line says how many.
#[derive(Clone, Default)]
pub(crate) struct LineBuffer {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

impl LineBuffer {
    /// Starts the thread that writes to the standard output.
    pub(crate) fn start_writer(&self) -> io::Result<()> {
        let buffer = self.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                loop {
                    thread::sleep(WRITE_INTERVAL);
                    buffer.write_out();
                }
            })?;
        Ok(())
    }

    /// Writes what has gathered.
    pub(crate) fn write_out(&self) {
        let (bytes, dropped_lines) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let dropped_lines = std::mem::take(&mut state.dropped_lines);
            (std::mem::take(&mut state.bytes), dropped_lines)
        };
        let mut out = io::stdout().lock();
        // Nobody is left to tell if the standard output is closed.
        let _ = out.write_all(&bytes);
        if dropped_lines > 0 {
            let _ = writeln!(
                out,
                r#"{{"level":"warn","payload":"log-lines-dropped","kv":{{"count":{dropped_lines}}}}}"#
            );
        }
        let _ = out.flush();
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bytes.len() + line.len() > BUFFER_MAX_BYTES {
            state.dropped_lines += 1;
        } else {
            state.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
