use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The largest job that may be accepted before its owner has told that there is room: one of ordinary size
/// with as many tasks as an occurrence may have.
pub const UNRESERVED_JOB_MAX_BYTES: usize = 320 << 10;
/// The largest job for which the last quarter of the room is kept.
const SMALL_JOB_MAX_BYTES: usize = 64 << 10;
/// The part of the room that is kept for small jobs.
const SMALL_JOBS_SHARE: usize = 4;
/// How long room is reserved for a job. By then, its submission is stored and read, or refused.
const RESERVED_FOR: Duration = Duration::from_secs(5);

/// The room that the owner of a cell has for accepted jobs, which it can't refuse once they are stored.
///
/// A large job needs a reservation before it is stored. The room is that of the smallest host that is
/// known, since any host may own the cell next.
#[derive(Clone, Debug)]
pub struct JobRoom {
    max_bytes: usize,
    reserved: VecDeque<(Instant, usize)>,
}

impl JobRoom {
    /// Creates the room of an owner that may keep jobs of the given size together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            reserved: VecDeque::new(),
        }
    }

    /// Limits the room to that of another host.
    pub fn limit_to(&mut self, max_bytes: usize) {
        self.max_bytes = self.max_bytes.min(max_bytes);
    }

    /// Returns whether there is room for a job beside the kept ones, and if so, reserves it.
    pub fn reserve(&mut self, bytes: usize, kept_bytes: usize, now: Instant) -> bool {
        let is_over = |at: Instant| now.duration_since(at) >= RESERVED_FOR;
        while self.reserved.front().is_some_and(|(at, _)| is_over(*at)) {
            self.reserved.pop_front();
        }
        let reserved_bytes: usize = self.reserved.iter().map(|(_, bytes)| bytes).sum();
        let max_bytes = match bytes <= SMALL_JOB_MAX_BYTES {
            true => self.max_bytes,
            false => self.max_bytes - self.max_bytes / SMALL_JOBS_SHARE,
        };
        let has_room = kept_bytes + reserved_bytes + bytes <= max_bytes;
        if has_room && bytes > UNRESERVED_JOB_MAX_BYTES {
            self.reserved.push_back((now, bytes));
        }
        has_room
    }
}
