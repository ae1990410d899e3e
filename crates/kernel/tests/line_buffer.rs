//! Buffered log output: lines are never interleaved or split, and dropped lines are counted.

use std::io;
use std::io::Write;

use dotterelhook_kernel::LineBuffer;

/// POSIX guarantees that writes to a pipe up to this size are atomic.
const PIPE_BUF_BYTES: usize = 4_096;

/// An output that records each write separately.
#[derive(Default)]
struct RecordedWrites(Vec<Vec<u8>>);

impl Write for RecordedWrites {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain_lines(lines: &[String]) -> Vec<Vec<u8>> {
    let mut buffer = LineBuffer::default();
    for line in lines {
        buffer.write_all(line.as_bytes()).expect("never fails");
    }
    let mut out = RecordedWrites::default();
    buffer.drain_to(&mut out).expect("an open output");
    out.0
}

#[test]
fn writes_end_with_a_line_and_stay_whole_in_a_pipe() {
    let lines: Vec<String> = (0..300)
        .map(|number| format!("{number} {}\n", "x".repeat(number)))
        .collect();

    let writes = drain_lines(&lines);

    assert!(writes.iter().all(|write| write.ends_with(b"\n")));
    assert!(writes.iter().all(|write| write.len() <= PIPE_BUF_BYTES));
    assert_eq!(writes.concat(), lines.concat().into_bytes());
}

#[test]
fn a_line_that_is_longer_than_one_write_stays_one() {
    let lines = [
        "short\n".to_owned(),
        format!("{}\n", "x".repeat(2 * PIPE_BUF_BYTES)),
        "short\n".to_owned(),
    ];

    let writes = drain_lines(&lines);

    assert_eq!(writes, lines.map(String::into_bytes));
}

#[test]
fn lines_beyond_the_buffer_are_counted() {
    let line = format!("{}\n", "x".repeat(1_023));
    let lines = vec![line; 600];

    let writes = drain_lines(&lines).concat();

    let text = String::from_utf8(writes).expect("text");
    assert_eq!(text.lines().count(), 513);
    assert!(
        text.ends_with("\"count\":88}}\n"),
        "{}",
        &text[text.len() - 80..]
    );
}
