use std::collections::BTreeMap;

use dotterelhook_types::ids::Offset;
use serde::Deserialize;
use serde::Serialize;

use super::RunStatus;
use super::ShardState;

const CHUNK_TEXT_MAX_BYTES: usize = 256 * 1_024;

/// One chunk of a shard's snapshot, appended as a record to the shard's snapshot stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Next offset of the state; identifies the snapshot.
    pub next_offset: Offset,
    /// Index of the chunk, starting at 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// This chunk's section of the state's JSON text.
    pub text: Box<str>,
}

/// The largest number of incomplete snapshots; the chunks of a snapshot are appended in one batch.
const PARTIAL_SNAPSHOTS_MAX: usize = 4;

/// Assembles snapshots from their chunks and retains the newest complete one.
///
/// Of the incomplete snapshots only the newest are kept.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    partial: BTreeMap<Offset, BTreeMap<u32, Box<str>>>,
    newest: Option<ShardState>,
}

impl SnapshotAssembler {
    /// Adds one record of the snapshot stream. Malformed chunks and chunks of snapshots that are
    /// not newer than the newest complete one have no effect.
    pub fn add(&mut self, payload: &str) {
        let Ok(chunk) = serde_json::from_str::<SnapshotChunk>(payload) else {
            return;
        };
        let newest = self.newest.as_ref().map(ShardState::next_offset);
        if newest.is_some_and(|newest| chunk.next_offset <= newest) {
            return;
        }
        if chunk.index >= chunk.count {
            return;
        }
        let texts = self.partial.entry(chunk.next_offset).or_default();
        texts.insert(chunk.index, chunk.text);
        if texts.len() < chunk.count as usize {
            if self.partial.len() > PARTIAL_SNAPSHOTS_MAX {
                self.partial.pop_first();
            }
            return;
        }
        let text: String = texts.values().map(|text| &**text).collect();
        if let Some(state) = ShardState::from_text(&text) {
            self.partial = self.partial.split_off(&state.next_offset.next());
            self.newest = Some(state);
        }
    }

    /// Returns the newest complete snapshot, if there is one.
    pub fn into_newest(self) -> Option<ShardState> {
        self.newest
    }
}

impl ShardState {
    /// Encodes the state as records of the snapshot stream, to be appended in one batch.
    pub fn to_chunks(&self) -> Vec<Box<str>> {
        let text = serde_json::to_string(self).expect("the state serializes to JSON");
        let sections = split_text(&text);
        let count = sections.len() as u32;
        let chunks = (0..).zip(sections).map(|(index, section)| SnapshotChunk {
            next_offset: self.next_offset,
            index,
            count,
            text: section.into(),
        });
        chunks
            .map(|chunk| {
                serde_json::to_string(&chunk)
                    .expect("a chunk serializes to JSON")
                    .into()
            })
            .collect()
    }

    fn from_text(text: &str) -> Option<Self> {
        let mut state: Self = serde_json::from_str(text).ok()?;
        state.rebuild_indexes();
        Some(state)
    }

    /// Rebuilds the fields that are derived from runs, open attempts and pruned ids.
    fn rebuild_indexes(&mut self) {
        for (id, run) in &mut self.runs {
            run.rebuild_task_indexes();
            if !run.is_closed() {
                self.unfinished_tasks += u64::from(run.spec.settings.tasks);
            }
            if run.is_undelivered() {
                self.undelivered.insert(id.clone());
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
            if let Some(worker_state) = self.workers.get_mut(&open.worker) {
                worker_state.reserve(attempt.clone(), &open.size);
            }
        }
        self.pruned_set = self.pruned.iter().copied().collect();
    }
}

fn split_text(mut text: &str) -> Vec<&str> {
    let mut sections = Vec::new();
    while !text.is_empty() {
        let mut end = text.len().min(CHUNK_TEXT_MAX_BYTES);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let (section, rest) = text.split_at(end);
        sections.push(section);
        text = rest;
    }
    sections
}
