use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::sync::Arc;

use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;

use super::super::ConfigDocument;
use super::super::ConfigState;
use super::super::Version;
use super::super::WriterId;
use super::SnapshotPart;
use super::part::StateItem;

const PARTIAL_SNAPSHOTS_MAX: usize = 8;
const PART_COUNT_MAX: u32 = 10_000;

/// A complete snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The restored configuration.
    pub state: ConfigState,
    /// Time of writing by the writer's clock, as Unix time in milliseconds.
    pub written_unix_ms: u64,
}

/// Reason why a snapshot, or a part of one, can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// A part can't be decoded, or its index or part count is out of range.
    Malformed(Box<str>),
    /// A version in the snapshot violates a validation rule.
    Invalid {
        /// Path of the version.
        path: ConfigPath,
        /// The offending field and the violated rule.
        error: FieldError,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "malformed snapshot part: {cause}"),
            Self::Invalid { path, error } => write!(f, "snapshot is invalid at {path}: {error}"),
        }
    }
}

impl Error for SnapshotError {}

#[derive(Clone, Debug, PartialEq, Eq)]
struct SnapshotKey {
    writer: WriterId,
    next_offset: Offset,
    written_unix_ms: u64,
    part_count: u32,
}

#[derive(Debug)]
struct PartialSnapshot {
    key: SnapshotKey,
    parts: BTreeMap<u32, Vec<StateItem>>,
}

/// Assembles snapshots from their parts. Parts may arrive in any order, repeatedly, and interleaved
/// with the parts of other writers.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    partial: VecDeque<PartialSnapshot>,
}

impl SnapshotAssembler {
    /// Adds the text of one part. Returns the snapshot if the part completes one.
    ///
    /// # Errors
    /// Returns an error if the part, or the snapshot that the part completes, can't be used.
    pub fn add(&mut self, text: &str) -> Result<Option<Snapshot>, SnapshotError> {
        let part: SnapshotPart = serde_json::from_str(text)
            .map_err(|error| SnapshotError::Malformed(error.to_string().into()))?;
        if part.part >= part.part_count || part.part_count > PART_COUNT_MAX {
            let cause = format!(
                "part index {} or part count {} is out of range",
                part.part, part.part_count
            );
            return Err(SnapshotError::Malformed(cause.into()));
        }
        let key = SnapshotKey {
            writer: part.writer,
            next_offset: part.next_offset,
            written_unix_ms: part.written_unix_ms,
            part_count: part.part_count,
        };
        let at = self.find_or_insert(&key);
        self.partial[at].parts.insert(part.part, part.items);
        if self.partial[at].parts.len() < key.part_count as usize {
            return Ok(None);
        }
        match self.partial.remove(at) {
            Some(snapshot) => restore(snapshot).map(Some),
            None => Ok(None),
        }
    }

    /// Returns the index of the partial snapshot with the given key. A new partial snapshot evicts
    /// the oldest one at the limit.
    fn find_or_insert(&mut self, key: &SnapshotKey) -> usize {
        if let Some(at) = self.partial.iter().position(|partial| partial.key == *key) {
            return at;
        }
        if self.partial.len() == PARTIAL_SNAPSHOTS_MAX {
            self.partial.pop_front();
        }
        self.partial.push_back(PartialSnapshot {
            key: key.clone(),
            parts: BTreeMap::new(),
        });
        self.partial.len() - 1
    }
}

fn restore(snapshot: PartialSnapshot) -> Result<Snapshot, SnapshotError> {
    let mut state = ConfigState {
        next_offset: snapshot.key.next_offset,
        ..ConfigState::default()
    };
    for item in snapshot.parts.into_values().flatten() {
        restore_item(&mut state, item)?;
    }
    Ok(Snapshot {
        state,
        written_unix_ms: snapshot.key.written_unix_ms,
    })
}

fn restore_item(state: &mut ConfigState, item: StateItem) -> Result<(), SnapshotError> {
    match item {
        StateItem::Version { path, offset, body } => {
            let document = ConfigDocument::check(&path, &body).map_err(|error| {
                let path = path.clone();
                SnapshotError::Invalid { path, error }
            })?;
            let document = Arc::new(document);
            let version = Version {
                offset,
                body,
                document,
            };
            state.install_version(&path, version);
        }
        StateItem::Removal { path, offset } => {
            Arc::make_mut(&mut state.removals).record(path, offset);
        }
        StateItem::ForgottenTo(offset) => {
            Arc::make_mut(&mut state.removals).mark_discarded_through(offset);
        }
        StateItem::Writer {
            writer,
            offset,
            sequence,
        } => {
            Arc::make_mut(&mut state.writers).insert(writer, offset, sequence);
        }
        StateItem::Outcome(outcome) => state.record_outcome(Arc::unwrap_or_clone(outcome)),
    }
    Ok(())
}
