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

const OPEN_MAX: usize = 8;
const PART_COUNT_MAX: u32 = 10_000;

/// A whole snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The configuration.
    pub state: ConfigState,
    /// When it was written, by the writer's clock.
    pub written_unix_ms: u64,
}

/// A snapshot that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// A part can't be decoded or its numbers make no sense.
    Malformed(Box<str>),
    /// A version in it breaks a rule.
    Invalid {
        /// The path of the version.
        path: ConfigPath,
        /// The field and its rule.
        fault: FieldError,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "not a part of a snapshot: {cause}"),
            Self::Invalid { path, fault } => write!(f, "snapshot holds {path}: {fault}"),
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
struct Open {
    key: SnapshotKey,
    parts: BTreeMap<u32, Vec<StateItem>>,
}

/// Puts snapshots together from parts in any order, of several writers, with repeats.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    open: VecDeque<Open>,
}

impl SnapshotAssembler {
    /// Takes the text of one part; returns the snapshot once its last part is there.
    ///
    /// # Errors
    /// The part, or the snapshot that it completes, can't be used.
    pub fn add(&mut self, text: &str) -> Result<Option<Snapshot>, SnapshotError> {
        let part: SnapshotPart = serde_json::from_str(text)
            .map_err(|error| SnapshotError::Malformed(error.to_string().into()))?;
        if part.part >= part.part_count || part.part_count > PART_COUNT_MAX {
            let cause = format!("part {} of {}", part.part, part.part_count);
            return Err(SnapshotError::Malformed(cause.into()));
        }
        let key = SnapshotKey {
            writer: part.writer,
            next_offset: part.next_offset,
            written_unix_ms: part.written_unix_ms,
            part_count: part.part_count,
        };
        let at = self.position(&key);
        self.open[at].parts.insert(part.part, part.items);
        if self.open[at].parts.len() < key.part_count as usize {
            return Ok(None);
        }
        match self.open.remove(at) {
            Some(whole) => restore(whole).map(Some),
            None => Ok(None),
        }
    }

    /// Returns where a snapshot is put together; the oldest one gives way.
    fn position(&mut self, key: &SnapshotKey) -> usize {
        if let Some(at) = self.open.iter().position(|open| open.key == *key) {
            return at;
        }
        if self.open.len() == OPEN_MAX {
            self.open.pop_front();
        }
        self.open.push_back(Open {
            key: key.clone(),
            parts: BTreeMap::new(),
        });
        self.open.len() - 1
    }
}

fn restore(whole: Open) -> Result<Snapshot, SnapshotError> {
    let mut state = ConfigState {
        next_offset: whole.key.next_offset,
        ..ConfigState::default()
    };
    for item in whole.parts.into_values().flatten() {
        restore_item(&mut state, item)?;
    }
    Ok(Snapshot {
        state,
        written_unix_ms: whole.key.written_unix_ms,
    })
}

fn restore_item(state: &mut ConfigState, item: StateItem) -> Result<(), SnapshotError> {
    match item {
        StateItem::Version { path, offset, body } => {
            let document = ConfigDocument::check(&path, &body).map_err(|fault| {
                let path = path.clone();
                SnapshotError::Invalid { path, fault }
            })?;
            let document = Arc::new(document);
            let version = Version {
                offset,
                body,
                document,
            };
            state.set(&path, version);
        }
        StateItem::Removal { path, offset } => {
            Arc::make_mut(&mut state.removals).add(path, offset);
        }
        StateItem::ForgottenTo(offset) => {
            Arc::make_mut(&mut state.removals).forget_to(offset);
        }
        StateItem::Writer {
            writer,
            offset,
            sequence,
        } => {
            Arc::make_mut(&mut state.writers).insert(writer, offset, sequence);
        }
        StateItem::Outcome(outcome) => state.keep_outcome(Arc::unwrap_or_clone(outcome)),
    }
    Ok(())
}
