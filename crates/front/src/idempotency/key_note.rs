use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_peer::membership::decode;
use dotterelhook_peer::membership::encode;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::KeyTable;
use super::RequestKey;
use crate::forward::ForwardAnswer;

/// The name of the call that notes a key at another front.
pub const NOTE_CALL: &str = "note-key";

/// What a key's home tells the other fronts before it runs the key's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyNote {
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: Box<str>,
    /// The hash of the request.
    pub fingerprint: u64,
    /// The random number of the home's table.
    pub owner: u64,
}

/// What another front knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyKnown {
    /// Nothing; it has noted the key now.
    Noted,
    /// The key's request was answered, or can't be run now.
    Ended(ForwardAnswer),
}

/// Notes keys for other fronts.
pub(crate) struct NoteHandler {
    pub(crate) keys: Arc<KeyTable>,
}

#[async_trait]
impl PeerHandler for NoteHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let note: KeyNote =
            decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        let key = RequestKey {
            service: note.service,
            key: note.key,
        };
        let known = match self.keys.note(key, note.fingerprint, note.owner) {
            Ok(None) => KeyKnown::Noted,
            Ok(Some(answer)) => KeyKnown::Ended(ForwardAnswer::clone(&answer)),
            Err(error) => KeyKnown::Ended(ForwardAnswer::failed(&error)),
        };
        let frame = encode(&known).map_err(|error| CallError::may_have_run(error.to_string()))?;
        Ok(frame.into())
    }
}
