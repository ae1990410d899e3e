use std::sync::Arc;

use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::super::ConfigState;
use super::super::PublicationOutcome;
use super::super::WriterId;

const PART_TARGET_BYTES: usize = 128 << 10;

/// One entry of the configuration's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StateItem {
    /// A version in force.
    Version {
        path: ConfigPath,
        offset: Offset,
        body: Arc<Value>,
    },
    /// A path that was removed.
    Removal { path: ConfigPath, offset: Offset },
    /// Removals up to this offset are no longer kept.
    ForgottenTo(Offset),
    /// A writer's last sequence.
    Writer {
        writer: WriterId,
        offset: Offset,
        sequence: Sequence,
    },
    /// What became of a publication.
    Outcome(Arc<PublicationOutcome>),
}

/// One part of a snapshot, a record of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// Who wrote it.
    pub writer: WriterId,
    /// The offset of the first record that the snapshot does not cover.
    pub next_offset: Offset,
    /// When it was written, by the writer's clock.
    pub written_unix_ms: u64,
    /// The number of this part, from zero.
    pub part: u32,
    /// The number of all parts.
    pub part_count: u32,
    pub(super) items: Vec<StateItem>,
}

/// Splits the configuration into the parts of one snapshot.
pub fn split_snapshot(
    state: &ConfigState,
    writer: &str,
    written_unix_ms: u64,
) -> Vec<SnapshotPart> {
    let pieces = group(items(state));
    let part_count = pieces.len() as u32;
    let parts = pieces
        .into_iter()
        .zip(0..)
        .map(|(items, part)| SnapshotPart {
            writer: writer.into(),
            next_offset: state.next_offset,
            written_unix_ms,
            part,
            part_count,
            items,
        });
    parts.collect()
}

fn items(state: &ConfigState) -> Vec<StateItem> {
    let versions = state
        .versions
        .iter()
        .map(|(path, version)| StateItem::Version {
            path: ConfigPath::clone(path),
            offset: version.offset,
            body: Arc::clone(&version.body),
        });
    let removals = state.removals.iter();
    let removals = removals.map(|(path, offset)| StateItem::Removal {
        path: path.clone(),
        offset,
    });
    let writers = state.writers.iter();
    let writers = writers.map(|(writer, offset, &sequence)| StateItem::Writer {
        writer: writer.clone(),
        offset,
        sequence,
    });
    let forgotten = state.removals.forgotten_to().map(StateItem::ForgottenTo);
    let outcomes = state.outcomes.iter().cloned().map(StateItem::Outcome);
    versions
        .chain(removals)
        .chain(forgotten)
        .chain(writers)
        .chain(outcomes)
        .collect()
}

/// Groups items so that the text of one group stays near the target size.
fn group(items: Vec<StateItem>) -> Vec<Vec<StateItem>> {
    let mut groups = vec![Vec::new()];
    let mut size_bytes = 0;
    for item in items {
        let item_bytes = serde_json::to_string(&item).map_or(0, |text| text.len());
        if size_bytes > 0 && size_bytes + item_bytes > PART_TARGET_BYTES {
            groups.push(Vec::new());
            size_bytes = 0;
        }
        size_bytes += item_bytes;
        if let Some(group) = groups.last_mut() {
            group.push(item);
        }
    }
    groups
}
