use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Refusal;
use crate::platform::StoreLimits;

/// The largest number of records in one append, below the store's limit for a call.
const RECORDS_PER_APPEND_MAX: usize = 100;
/// The largest number of records that wait for one partition.
const WAITING_MAX: usize = 4_096;

/// Identifies a waiting record of an [`AppendQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    deadline: Instant,
    size_bytes: usize,
    record: T,
}

/// The records that wait for one partition of the store, which executes appends one by one.
///
/// One append is in flight at a time and takes all records that wait, so a slow store gets fewer and
/// larger appends. A record is refused as soon as it can't be stored by its deadline.
#[derive(Debug)]
pub struct AppendQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    waiting_bytes: usize,
    append_max_bytes: usize,
    in_flight_since: Option<Instant>,
    next_ticket: u64,
}

/// The records of the next append, and those that it would store too late.
#[derive(Debug, PartialEq, Eq)]
pub struct AppendBatch<T> {
    /// The records to append, those with the least time first.
    pub records: Vec<T>,
    /// The latest deadline of the records to append.
    pub deadline: Instant,
    /// The records that can't be stored by their deadlines, each with the reason.
    pub refused: Vec<(T, Refusal)>,
}

impl<T> Default for AppendQueue<T> {
    fn default() -> Self {
        Self::new(StoreLimits::default().append_max_bytes)
    }
}

impl<T> AppendQueue<T> {
    /// Creates an empty queue whose appends have at most the given size, in bytes.
    pub fn new(append_max_bytes: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            append_max_bytes,
            in_flight_since: None,
            next_ticket: 0,
        }
    }

    /// Adds a record of the given size that must be stored by `deadline`. `append_time` is the expected
    /// time of one append.
    ///
    /// # Errors
    /// The record can't be stored in time, or too many records wait. The record is not added.
    pub fn push(
        &mut self,
        record: T,
        size_bytes: usize,
        deadline: Instant,
        append_time: Duration,
        now: Instant,
    ) -> Result<Ticket, Refusal> {
        let waiting = self.waiting.len();
        if waiting >= WAITING_MAX {
            return Err(Refusal::Full { waiting });
        }
        let by_count = waiting / RECORDS_PER_APPEND_MAX;
        let by_size = self.waiting_bytes / self.append_max_bytes.max(1);
        let appends_ahead = by_count.max(by_size) as u32;
        let needed = self.in_flight_rest(append_time, now) + append_time * (appends_ahead + 1);
        check_deadline(needed, deadline, now)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting_bytes += size_bytes;
        self.waiting.push_back(Waiting {
            ticket,
            deadline,
            size_bytes,
            record,
        });
        Ok(ticket)
    }

    /// Removes a record that still waits. Returns `None` if an append has taken it.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        let index = self.waiting.iter().position(|w| w.ticket == ticket)?;
        let withdrawn = self.waiting.remove(index)?;
        self.waiting_bytes -= withdrawn.size_bytes;
        Some(withdrawn.record)
    }

    /// Begins the next append unless one is in flight or no record waits.
    ///
    /// If more records wait than one append takes, those with the earliest deadlines go first.
    pub fn begin_append(&mut self, append_time: Duration, now: Instant) -> Option<AppendBatch<T>> {
        if self.in_flight_since.is_some() || self.waiting.is_empty() {
            return None;
        }
        let mut batch = AppendBatch {
            records: Vec::new(),
            deadline: now,
            refused: Vec::new(),
        };
        self.waiting
            .make_contiguous()
            .sort_by_key(|waiting| waiting.deadline);
        let mut left_bytes = self.append_max_bytes;
        while batch.records.len() < RECORDS_PER_APPEND_MAX
            && let Some(waiting) = self.waiting.pop_front_if(|waiting| {
                batch.records.is_empty() || waiting.size_bytes <= left_bytes
            })
        {
            self.waiting_bytes -= waiting.size_bytes;
            match check_deadline(append_time, waiting.deadline, now) {
                Ok(()) => {
                    left_bytes = left_bytes.saturating_sub(waiting.size_bytes);
                    batch.deadline = batch.deadline.max(waiting.deadline);
                    batch.records.push(waiting.record);
                }
                Err(refusal) => batch.refused.push((waiting.record, refusal)),
            }
        }
        if !batch.records.is_empty() {
            self.in_flight_since = Some(now);
        }
        Some(batch)
    }

    /// Ends the append in flight.
    pub fn end_append(&mut self) {
        self.in_flight_since = None;
    }

    /// Returns the expected time until the append in flight ends.
    fn in_flight_rest(&self, append_time: Duration, now: Instant) -> Duration {
        let sent_at = self.in_flight_since;
        sent_at.map_or(Duration::ZERO, |sent_at| {
            append_time.saturating_sub(now.duration_since(sent_at))
        })
    }
}

fn check_deadline(needed: Duration, deadline: Instant, now: Instant) -> Result<(), Refusal> {
    let left = deadline.saturating_duration_since(now);
    if needed > left {
        return Err(Refusal::TooLate { needed, left });
    }
    Ok(())
}
