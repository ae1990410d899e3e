use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ServiceName;
use tokio::time::Instant;

use crate::forward::ForwardAnswer;
use crate::request::Cause;
use crate::request::RequestError;

const KEPT: Duration = Duration::from_secs(10 * 60);
const KEYS_MAX: usize = 50_000;
const ANSWERS_MAX_BYTES: usize = 32 << 20;

/// A caller's key within a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: Box<str>,
}

#[derive(Debug)]
enum State {
    Running,
    /// Another front said that it begins it.
    Noted {
        owner: u64,
    },
    /// A target may have run it, and no answer is kept.
    Open(Verdict),
    Answered(Arc<ForwardAnswer>),
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    begun_at: Instant,
    state: State,
}

#[derive(Debug, Default)]
struct Keys {
    entries: HashMap<RequestKey, Entry>,
    answers_bytes: usize,
}

/// The keys that this front is home to, each with what became of its request.
#[derive(Debug)]
pub struct KeyTable {
    owner: u64,
    keys: Mutex<Keys>,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self {
            owner: rand::random(),
            keys: Mutex::default(),
        }
    }
}

/// A key's first request; without an end its outcome stays open.
#[derive(Debug)]
pub struct Begun {
    table: Arc<KeyTable>,
    key: RequestKey,
    is_ended: bool,
}

/// What a key's request finds.
#[derive(Debug)]
pub enum Repeat {
    /// It is the first.
    First(Begun),
    /// It has been answered.
    Answered(Arc<ForwardAnswer>),
}

impl KeyTable {
    /// Returns the random number that tells this table from that of another process.
    pub fn owner(&self) -> u64 {
        self.owner
    }

    /// Begins a key's request, or returns the answer to an earlier one.
    ///
    /// # Errors
    /// The earlier one still runs, has no answer that was kept, or was another request; or the
    /// table is full. This one didn't run; the verdict is that of the earlier one.
    pub fn begin(
        self: &Arc<Self>,
        key: RequestKey,
        fingerprint: u64,
    ) -> Result<Repeat, RequestError> {
        let known = self.lock().add(&key, fingerprint, State::Running, None)?;
        Ok(match known {
            Some(answer) => Repeat::Answered(answer),
            None => Repeat::First(Begun {
                table: Arc::clone(self),
                key,
                is_ended: false,
            }),
        })
    }

    /// Notes that another front begins a key's request, or returns the answer to an earlier one.
    ///
    /// # Errors
    /// As for `begin`; the other front must not run the request.
    pub fn note(
        &self,
        key: RequestKey,
        fingerprint: u64,
        owner: u64,
    ) -> Result<Option<Arc<ForwardAnswer>>, RequestError> {
        let state = State::Noted { owner };
        self.lock().add(&key, fingerprint, state, Some(owner))
    }

    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Begun {
    /// Keeps the answer for repeats; a request that didn't run may run again.
    pub fn end(mut self, answer: &Arc<ForwardAnswer>) {
        self.is_ended = true;
        let mut keys = self.table.lock();
        if answer.verdict == Verdict::NotRun {
            keys.remove(&self.key);
            return;
        }
        let bytes = answer.body.len();
        let is_room = keys.answers_bytes + bytes <= ANSWERS_MAX_BYTES;
        let state = if answer.verdict == Verdict::Ran && is_room {
            keys.answers_bytes += bytes;
            State::Answered(Arc::clone(answer))
        } else {
            State::Open(answer.verdict)
        };
        if let Some(entry) = keys.entries.get_mut(&self.key) {
            entry.state = state;
        }
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        if !self.is_ended
            && let Some(entry) = self.table.lock().entries.get_mut(&self.key)
        {
            entry.state = State::Open(Verdict::MayHaveRun);
        }
    }
}

impl Entry {
    fn is_noted_by(&self, other: Option<u64>) -> bool {
        matches!(self.state, State::Noted { owner } if Some(owner) == other)
    }

    fn repeat(&self, fingerprint: u64) -> Result<Arc<ForwardAnswer>, RequestError> {
        let conflict = |verdict: Verdict, detail: &str| {
            Err(RequestError {
                cause: Cause::KeyConflict,
                verdict,
                detail: detail.into(),
            })
        };
        if fingerprint != self.fingerprint {
            let detail = "the key was used for another request";
            return conflict(Verdict::NotRun, detail);
        }
        match &self.state {
            State::Running => conflict(Verdict::MayHaveRun, "the key's request still runs"),
            State::Noted { .. } => conflict(
                Verdict::MayHaveRun,
                "the key's request began at another front",
            ),
            State::Open(verdict) => conflict(*verdict, "the key's request has no kept answer"),
            State::Answered(answer) => Ok(Arc::clone(answer)),
        }
    }
}

impl Keys {
    /// Adds a key, unless it is known; a note of the same owner may be repeated.
    fn add(
        &mut self,
        key: &RequestKey,
        fingerprint: u64,
        state: State,
        owner: Option<u64>,
    ) -> Result<Option<Arc<ForwardAnswer>>, RequestError> {
        let now = Instant::now();
        if let Some(entry) = self.entries.get(key)
            && now.duration_since(entry.begun_at) < KEPT
            && !entry.is_noted_by(owner)
        {
            return entry.repeat(fingerprint).map(Some);
        }
        if self.entries.len() >= KEYS_MAX {
            self.forget_old(now);
        }
        if self.entries.len() >= KEYS_MAX {
            let detail = "the front keeps as many keys as it may";
            return Err(RequestError::not_run(Cause::MemoryLimit, detail));
        }
        self.remove(key);
        let entry = Entry {
            fingerprint,
            begun_at: now,
            state,
        };
        self.entries.insert(key.clone(), entry);
        Ok(None)
    }

    fn forget_old(&mut self, now: Instant) {
        let old: Vec<RequestKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| now.duration_since(entry.begun_at) >= KEPT)
            .map(|(key, _)| key.clone())
            .collect();
        old.iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(entry) = self.entries.remove(key)
            && let State::Answered(answer) = entry.state
        {
            self.answers_bytes -= answer.body.len();
        }
    }
}
