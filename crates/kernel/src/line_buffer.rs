use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The lines that wait to be written at most; more are dropped and counted.
const BUFFER_MAX_BYTES: usize = 512 << 10;
/// The most bytes of one write, if a line is not longer: up to here, writes to a pipe don't mix
/// with those of other processes (`PIPE_BUF` in POSIX).
const WRITE_MAX_BYTES: usize = 4 << 10;
/// The time between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Takes log lines without ever waiting for the standard output.
///
/// A thread of its own writes them; if the reader of the output is slow, lines are dropped, and a
/// line says how many.
#[derive(Clone, Default)]
pub struct LineBuffer {
    state: Arc<Mutex<State>>,
}

impl LineBuffer {
    /// Starts the thread that writes to the standard output.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start_writer(&self) -> io::Result<()> {
        let buffer = self.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                loop {
                    thread::sleep(WRITE_INTERVAL);
                    buffer.drain_to_stdout();
                }
            })?;
        Ok(())
    }

    /// Writes what has gathered to the standard output.
    pub fn drain_to_stdout(&self) {
        // Nobody is left to tell if the standard output is closed.
        let _ = self.drain_to(&mut io::stdout().lock());
    }

    /// Writes what has gathered, some whole lines at a time.
    ///
    /// # Errors
    /// The output takes no more; what has gathered is gone.
    pub fn drain_to(&self, out: &mut dyn Write) -> io::Result<()> {
        let (bytes, dropped_lines) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let dropped_lines = std::mem::take(&mut state.dropped_lines);
            (std::mem::take(&mut state.bytes), dropped_lines)
        };
        for chunk in whole_lines(&bytes) {
            out.write_all(chunk)?;
        }
        if dropped_lines > 0 {
            writeln!(
                out,
                r#"{{"level":"warn","payload":"log-lines-dropped","kv":{{"count":{dropped_lines}}}}}"#
            )?;
        }
        out.flush()
    }
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// Splits lines into chunks that end with a line.
fn whole_lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let within = &rest[..rest.len().min(WRITE_MAX_BYTES)];
        let last_end = within.iter().rposition(|byte| *byte == b'\n');
        let first_end = || rest.iter().position(|byte| *byte == b'\n');
        let end = last_end
            .or_else(first_end)
            .map_or(rest.len(), |end| end + 1);
        let (chunk, left) = rest.split_at(end);
        rest = left;
        (!chunk.is_empty()).then_some(chunk)
    })
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
