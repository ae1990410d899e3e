use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::publication_outcome::truncate;

/// Size limit of a publication's record; larger records are refused as malformed.
pub const PUBLICATION_MAX_BYTES: usize = 64 << 10;

const WRITER_MAX_BYTES: usize = 64;

/// Identifies one writer of a stream. Each process instance chooses a new id, because sequence
/// numbers restart with the process.
pub type WriterId = Box<str>;

/// A change of one path by one operator, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// The writer that appended the record.
    pub writer: WriterId,
    /// The writer's sequence number; records that do not increase it are refused as repeats.
    pub sequence: Sequence,
    /// The team on whose behalf the change is made; must own the path.
    pub team: TeamName,
    /// The path to change.
    pub path: ConfigPath,
    /// Offset of the version that this one replaces. For a path without a version in force: offset
    /// of the newest record that the publisher had read, or absent if there was none.
    pub base_offset: Option<Offset>,
    /// The new document; absent to remove the path.
    pub body: Option<Value>,
}

impl Publication {
    /// Decodes a record and checks its size limits.
    pub(super) fn parse(payload: &str) -> Result<Self, Box<str>> {
        if payload.len() > PUBLICATION_MAX_BYTES {
            return Err(format!("larger than {PUBLICATION_MAX_BYTES} bytes").into());
        }
        let publication: Self =
            serde_json::from_str(payload).map_err(|error| truncate(&error.to_string()))?;
        if publication.writer.len() > WRITER_MAX_BYTES {
            return Err(format!("the writer's id is longer than {WRITER_MAX_BYTES} bytes").into());
        }
        Ok(publication)
    }
}
