use std::collections::BTreeMap;

use dotterelhook_types::ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use super::RunStatus;
use super::ShardState;

const CHUNK_BYTES: usize = 256 * 1_024;

/// One piece of a snapshot, as a record of its own stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The next offset of the state; names the snapshot.
    pub next_offset: Offset,
    /// The piece's index, from zero.
    pub index: u32,
    /// The number of pieces.
    pub count: u32,
    /// The piece of the state's text.
    pub text: Box<str>,
}

/// Puts snapshots together from their pieces and keeps the newest whole one.
#[derive(Clone, Debug, Default)]
pub struct SnapshotReader {
    partial: BTreeMap<Offset, BTreeMap<u32, Box<str>>>,
    newest: Option<ShardState>,
}

impl SnapshotReader {
    /// Takes in one record; a malformed or older one changes nothing.
    pub fn add(&mut self, payload: &str) {
        let Ok(chunk) = serde_json::from_str::<SnapshotChunk>(payload) else {
            return;
        };
        let newest = self.newest.as_ref().map(ShardState::next_offset);
        if newest.is_some_and(|newest| chunk.next_offset <= newest) {
            return;
        }
        let pieces = self.partial.entry(chunk.next_offset).or_default();
        pieces.insert(chunk.index, chunk.text);
        if pieces.len() < chunk.count as usize {
            return;
        }
        let text: String = pieces.values().map(|piece| &**piece).collect();
        if let Some(state) = ShardState::from_text(&text) {
            self.partial = self.partial.split_off(&state.next_offset.next());
            self.newest = Some(state);
        }
    }

    /// Returns the newest whole snapshot, if there is one.
    pub fn into_newest(self) -> Option<ShardState> {
        self.newest
    }
}

impl ShardState {
    /// Returns the state as records of the snapshot stream, to be appended together.
    pub fn to_chunks(&self) -> Vec<Box<str>> {
        let text = serde_json::to_string(self).expect("the state is plain data");
        let pieces = split(&text);
        let count = pieces.len() as u32;
        let chunks = (0..).zip(pieces).map(|(index, piece)| SnapshotChunk {
            next_offset: self.next_offset,
            index,
            count,
            text: piece.into(),
        });
        chunks
            .map(|chunk| {
                serde_json::to_string(&chunk)
                    .expect("a chunk is plain data")
                    .into()
            })
            .collect()
    }

    fn from_text(text: &str) -> Option<Self> {
        let mut state: Self = serde_json::from_str(text).ok()?;
        state.index();
        Some(state)
    }

    /// Rebuilds what is derived from runs and open attempts.
    fn index(&mut self) {
        for (id, run) in &mut self.runs {
            run.index_tasks();
            if !run.is_closed() {
                self.unfinished_tasks += u64::from(run.spec.settings.tasks);
            }
            if run.status != RunStatus::Active {
                continue;
            }
            self.active.insert(id.clone());
            if !run.is_overdue {
                self.deadlines
                    .insert((run.spec.deadline_at_unix_ms, id.clone()));
            }
        }
        for (attempt, open) in &self.open {
            if let Some(account) = self.workers.get_mut(&open.worker) {
                account.reserve(attempt.clone(), &open.size);
            }
        }
        self.pruned_set = self.pruned.iter().copied().collect();
    }
}

fn split(mut text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    while !text.is_empty() {
        let mut end = text.len().min(CHUNK_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, rest) = text.split_at(end);
        pieces.push(piece);
        text = rest;
    }
    pieces
}
