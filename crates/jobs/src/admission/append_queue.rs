use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Refusal;

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
    record: T,
}

/// The records that wait for one partition of the store, which executes appends one by one.
///
/// One append is in flight at a time and takes all records that wait, so a slow store gets fewer and
/// larger appends. A record is refused as soon as it can't be stored by its deadline.
#[derive(Debug)]
pub struct AppendQueue<T> {
    waiting: VecDeque<Waiting<T>>,
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
        Self {
            waiting: VecDeque::new(),
            in_flight_since: None,
            next_ticket: 0,
        }
    }
}

impl<T> AppendQueue<T> {
    /// Adds a record that must be stored by `deadline`. `append_time` is the expected time of one
    /// append.
    ///
    /// # Errors
    /// The record can't be stored in time, or too many records wait. The record is not added.
    pub fn push(
        &mut self,
        record: T,
        deadline: Instant,
        append_time: Duration,
        now: Instant,
    ) -> Result<Ticket, Refusal> {
        let waiting = self.waiting.len();
        if waiting >= WAITING_MAX {
            return Err(Refusal::Full { waiting });
        }
        let appends_ahead = (waiting / RECORDS_PER_APPEND_MAX) as u32;
        let needed = self.in_flight_rest(append_time, now) + append_time * (appends_ahead + 1);
        check_deadline(needed, deadline, now)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Waiting {
            ticket,
            deadline,
            record,
        });
        Ok(ticket)
    }

    /// Removes a record that still waits. Returns `None` if an append has taken it.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        let index = self.waiting.iter().position(|w| w.ticket == ticket)?;
        self.waiting.remove(index).map(|waiting| waiting.record)
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
        while batch.records.len() < RECORDS_PER_APPEND_MAX
            && let Some(waiting) = self.waiting.pop_front()
        {
            match check_deadline(append_time, waiting.deadline, now) {
                Ok(()) => {
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
