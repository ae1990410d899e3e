//! Requests that callers may repeat under a key: each key has a home front that runs it once.

mod home;
mod key_note;
mod key_table;

pub use home::home;
pub use key_note::KeyKnown;
pub use key_note::KeyNote;
pub use key_note::NOTE_CALL;
pub(crate) use key_note::NoteHandler;
pub use key_table::Begun;
pub use key_table::KeyTable;
pub use key_table::Repeat;
pub use key_table::RequestKey;
