/// The size of the jobs that a host accepts between two queries about the room of a cell.
const QUERY_INTERVAL_BYTES: usize = 64 << 10;
/// The size of the jobs after which a host waits for the answer.
const UNCONFIRMED_MAX_BYTES: usize = 512 << 10;

/// Whether the owner of a cell must be asked for room before a small job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomQuery {
    /// No query is needed.
    None,
    /// A query is due, and the job need not wait for it.
    InBackground,
    /// The job must wait for the answer.
    First,
}

/// What a host knows about the room that the owner of a cell has for small jobs.
///
/// The owner is asked rarely, and jobs wait for an answer only while room is short or many were accepted
/// without one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomView {
    unconfirmed_bytes: usize,
    is_short: bool,
    is_querying: bool,
}

impl RoomView {
    /// Counts a small job that is about to be accepted.
    pub fn count(&mut self, bytes: usize) -> RoomQuery {
        self.unconfirmed_bytes += bytes;
        if self.is_short || self.unconfirmed_bytes > UNCONFIRMED_MAX_BYTES {
            return RoomQuery::First;
        }
        if self.unconfirmed_bytes < QUERY_INTERVAL_BYTES || self.is_querying {
            return RoomQuery::None;
        }
        self.is_querying = true;
        RoomQuery::InBackground
    }

    /// Records the answer of the owner; `None` if there was none.
    pub fn record(&mut self, has_room: Option<bool>) {
        self.is_querying = false;
        if let Some(has_room) = has_room {
            self.is_short = !has_room;
            self.unconfirmed_bytes = 0;
        }
    }
}
