use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The limit on buffered lines. Lines beyond it are dropped and counted.
const BUFFER_MAX_BYTES: usize = 512 << 10;
/// The limit on one write, unless a single line is longer. Up to this size, writes to a pipe are
/// atomic and are not interleaved with those of other processes (`PIPE_BUF` in POSIX).
const WRITE_MAX_BYTES: usize = 4 << 10;
/// The pause between two drains of the buffer.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// A bounded buffer of log lines whose writers never block on the standard output.
///
/// A dedicated thread drains the buffer. If the reader of the standard output is slow, lines are
/// dropped and a log line reports their number.
#[derive(Clone, Default)]
pub struct LineBuffer {
    state: Arc<Mutex<State>>,
}

impl LineBuffer {
    /// Starts the thread that periodically drains the buffer to the standard output.
    ///
    /// # Errors
    /// The thread can't be spawned.
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

    /// Writes the buffered lines to the standard output.
    pub fn drain_to_stdout(&self) {
        // If the standard output is closed, there is nowhere left to report the error.
        let _ = self.drain_to(&mut io::stdout().lock());
    }

    /// Writes the buffered lines to an output, in chunks of complete lines.
    ///
    /// # Errors
    /// A write failed. The lines that have not been written are lost.
    pub fn drain_to(&self, out: &mut dyn Write) -> io::Result<()> {
        let (bytes, dropped_lines) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let dropped_lines = std::mem::take(&mut state.dropped_lines);
            (std::mem::take(&mut state.bytes), dropped_lines)
        };
        for chunk in line_chunks(&bytes) {
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

/// Splits the bytes into chunks of at most [`WRITE_MAX_BYTES`] that each end at the end of a line.
/// A longer line is a chunk of its own.
fn line_chunks(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let window = &rest[..rest.len().min(WRITE_MAX_BYTES)];
        let last_end = window.iter().rposition(|byte| *byte == b'\n');
        let first_end = || rest.iter().position(|byte| *byte == b'\n');
        let end = last_end
            .or_else(first_end)
            .map_or(rest.len(), |end| end + 1);
        let (chunk, remaining) = rest.split_at(end);
        rest = remaining;
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
