use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ServiceName;
use tokio::time::Instant;

use crate::forward::BufferedAnswer;
use crate::request::Cause;
use crate::request::RequestError;

const KEY_RETENTION: Duration = Duration::from_secs(10 * 60);
const KEYS_MAX: usize = 50_000;
const RETAINED_ANSWERS_MAX_BYTES: usize = 32 << 20;

/// A caller's idempotency key; equal keys of different services are independent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The service of the request.
    pub service: ServiceName,
    /// The value of the caller's `idempotency-key` header.
    pub key: Box<str>,
}

#[derive(Debug)]
enum KeyState {
    Running,
    /// Another front claimed the key and may run the request.
    Claimed {
        owner: u64,
    },
    /// A target ran or may have run the request, and no answer is retained.
    Lost(Verdict),
    Answered(Arc<BufferedAnswer>),
}

#[derive(Debug)]
struct Entry {
    /// Distinguishes the entry from later ones of the same key.
    id: u64,
    fingerprint: u64,
    started_at: Instant,
    state: KeyState,
}

#[derive(Debug, Default)]
struct Keys {
    entries: HashMap<IdempotencyKey, Entry>,
    retained_bytes: usize,
    next_id: u64,
}

/// The idempotency keys known to this front, each with the state of its request.
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

/// A key whose first request is running; dropping it uncompleted records that the request may have
/// run.
#[derive(Debug)]
pub struct InFlightKey {
    table: Arc<KeyTable>,
    key: IdempotencyKey,
    entry_id: u64,
    is_complete: bool,
}

/// How a request with a key goes on.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The request is the key's first and is to be run.
    First(InFlightKey),
    /// An earlier request was answered; its answer is to be repeated.
    Answered(Arc<BufferedAnswer>),
}

impl KeyTable {
    /// Returns the random id of this table, which identifies the front's process in claims.
    pub fn owner(&self) -> u64 {
        self.owner
    }

    /// Registers a key's first request as running, or returns the answer to an earlier one.
    ///
    /// # Errors
    /// The earlier request still runs, has no retained answer or was a different one; or the table
    /// is full. This request did not run. The verdict is that of the earlier request if this one
    /// repeats it, else `NotRun`.
    pub fn begin(
        self: &Arc<Self>,
        key: IdempotencyKey,
        fingerprint: u64,
    ) -> Result<BeginOutcome, RequestError> {
        let known = self
            .lock()
            .try_insert(&key, fingerprint, KeyState::Running, None)?;
        Ok(match known {
            KnownKey::Answered(answer) => BeginOutcome::Answered(answer),
            KnownKey::Inserted { entry_id } => BeginOutcome::First(InFlightKey {
                table: Arc::clone(self),
                key,
                entry_id,
                is_complete: false,
            }),
        })
    }

    /// Records another front's claim of a key, or returns the answer to an earlier request.
    ///
    /// # Errors
    /// As for [`begin`](Self::begin); the other front must not run the request.
    pub fn claim(
        &self,
        key: IdempotencyKey,
        fingerprint: u64,
        owner: u64,
    ) -> Result<Option<Arc<BufferedAnswer>>, RequestError> {
        let state = KeyState::Claimed { owner };
        let known = self
            .lock()
            .try_insert(&key, fingerprint, state, Some(owner))?;
        Ok(match known {
            KnownKey::Answered(answer) => Some(answer),
            KnownKey::Inserted { .. } => None,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlightKey {
    /// Retains the answer for repeats; the key of a request that did not run is removed.
    ///
    /// Does nothing if the key's entry has expired in the meantime.
    pub fn complete(mut self, answer: &Arc<BufferedAnswer>) {
        self.is_complete = true;
        let mut keys = self.table.lock();
        if keys.own_entry(&self.key, self.entry_id).is_none() {
            return;
        }
        if answer.verdict == Verdict::NotRun {
            keys.remove(&self.key);
            return;
        }
        let bytes = answer.body.len();
        let has_room = keys.retained_bytes + bytes <= RETAINED_ANSWERS_MAX_BYTES;
        let state = if answer.verdict == Verdict::Ran && has_room {
            keys.retained_bytes += bytes;
            KeyState::Answered(Arc::clone(answer))
        } else {
            KeyState::Lost(answer.verdict)
        };
        if let Some(entry) = keys.own_entry(&self.key, self.entry_id) {
            entry.state = state;
        }
    }
}

impl Drop for InFlightKey {
    fn drop(&mut self) {
        if !self.is_complete
            && let Some(entry) = self.table.lock().own_entry(&self.key, self.entry_id)
        {
            entry.state = KeyState::Lost(Verdict::MayHaveRun);
        }
    }
}

/// What a table knows of a key that a request brings.
enum KnownKey {
    /// The key was unknown and has an entry now.
    Inserted { entry_id: u64 },
    /// An earlier request was answered.
    Answered(Arc<BufferedAnswer>),
}

impl Entry {
    fn is_claimed_by(&self, other: Option<u64>) -> bool {
        matches!(self.state, KeyState::Claimed { owner } if Some(owner) == other)
    }

    fn retained_answer(&self, fingerprint: u64) -> Result<Arc<BufferedAnswer>, RequestError> {
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
            KeyState::Running => conflict(Verdict::MayHaveRun, "the key's request still runs"),
            KeyState::Claimed { .. } => conflict(
                Verdict::MayHaveRun,
                "the key's request began at another front",
            ),
            KeyState::Lost(verdict) => conflict(*verdict, "the key's request has no kept answer"),
            KeyState::Answered(answer) => Ok(Arc::clone(answer)),
        }
    }
}

impl Keys {
    /// Inserts a key unless it is known; an owner may repeat its own claim.
    fn try_insert(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: u64,
        state: KeyState,
        owner: Option<u64>,
    ) -> Result<KnownKey, RequestError> {
        let now = Instant::now();
        if let Some(entry) = self.entries.get(key)
            && now.duration_since(entry.started_at) < KEY_RETENTION
            && !entry.is_claimed_by(owner)
        {
            return entry.retained_answer(fingerprint).map(KnownKey::Answered);
        }
        if self.entries.len() >= KEYS_MAX {
            self.remove_expired(now);
        }
        if self.entries.len() >= KEYS_MAX {
            let detail = "the front keeps as many keys as it may";
            return Err(RequestError::not_run(Cause::MemoryLimit, detail));
        }
        self.remove(key);
        let entry_id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            id: entry_id,
            fingerprint,
            started_at: now,
            state,
        };
        self.entries.insert(key.clone(), entry);
        Ok(KnownKey::Inserted { entry_id })
    }

    /// Returns the entry of a key unless it has been replaced or removed.
    fn own_entry(&mut self, key: &IdempotencyKey, id: u64) -> Option<&mut Entry> {
        self.entries.get_mut(key).filter(|entry| entry.id == id)
    }

    fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<IdempotencyKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| now.duration_since(entry.started_at) >= KEY_RETENTION)
            .map(|(key, _)| key.clone())
            .collect();
        expired.iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: &IdempotencyKey) {
        if let Some(entry) = self.entries.remove(key)
            && let KeyState::Answered(answer) = entry.state
        {
            self.retained_bytes -= answer.body.len();
        }
    }
}
