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

/// One item of the configuration's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum StateItem {
    /// A version in force.
    Version {
        path: ConfigPath,
        offset: Offset,
        body: Arc<Value>,
    },
    /// The removal of a path.
    Removal { path: ConfigPath, offset: Offset },
    /// Removals up to this offset may have been discarded.
    ForgottenTo(Offset),
    /// The last sequence number of a writer.
    Writer {
        writer: WriterId,
        offset: Offset,
        sequence: Sequence,
    },
    /// The outcome of a publication.
    Outcome(Arc<PublicationOutcome>),
}

/// One part of a snapshot, appended to the log as a separate record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The writer of the snapshot.
    pub writer: WriterId,
    /// Offset of the first record that the snapshot does not cover.
    pub next_offset: Offset,
    /// Time of writing by the writer's clock, as Unix time in milliseconds.
    pub written_unix_ms: u64,
    /// Index of this part, starting at 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub part_count: u32,
    pub(super) items: Vec<StateItem>,
}

/// Splits the configuration into the parts of one snapshot, each of about 128 KiB or one larger
/// item.
pub fn split_snapshot(
    state: &ConfigState,
    writer: &str,
    written_unix_ms: u64,
) -> Vec<SnapshotPart> {
    let groups = group_by_size(state_items(state));
    let part_count = groups.len() as u32;
    let parts = groups
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

fn state_items(state: &ConfigState) -> Vec<StateItem> {
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
    let discarded = state
        .removals
        .discarded_through()
        .map(StateItem::ForgottenTo);
    let outcomes = state.outcomes.iter().cloned().map(StateItem::Outcome);
    versions
        .chain(removals)
        .chain(discarded)
        .chain(writers)
        .chain(outcomes)
        .collect()
}

/// Groups consecutive items so that the JSON text of a group stays near the target size.
fn group_by_size(items: Vec<StateItem>) -> Vec<Vec<StateItem>> {
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
