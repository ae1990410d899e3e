use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Names one writer of a stream; a new process takes a new one.
pub type WriterId = Box<str>;

/// One operator's change of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Who appended the record.
    pub writer: WriterId,
    /// The writer's own count, used to drop repeats.
    pub sequence: Sequence,
    /// The team in whose name the change is made.
    pub team: TeamName,
    /// The path that is changed.
    pub path: ConfigPath,
    /// The offset of the version that this one replaces; absent for a new path.
    pub base_offset: Option<Offset>,
    /// The new document; absent to remove the path.
    pub body: Option<Value>,
}
