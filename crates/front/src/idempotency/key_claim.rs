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

use super::IdempotencyKey;
use super::KeyTable;
use crate::forward::BufferedAnswer;

/// The name of the peer call that claims a key at another front.
pub const CLAIM_KEY_CALL: &str = "note-key";

/// A key's home sends this claim to all other fronts before it runs the key's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The service of the request.
    pub service: ServiceName,
    /// The caller's key.
    pub key: Box<str>,
    /// The hash of the request, which detects a key reused for another request.
    pub fingerprint: u64,
    /// The random id of the claiming front's key table.
    pub owner: u64,
}

/// A front's reply to the claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyClaimReply {
    /// The key was unknown and is now claimed; its request may run.
    #[serde(rename = "Noted")]
    Claimed,
    /// The request must not run; holds its earlier answer, or the error to report.
    #[serde(rename = "Ended")]
    Denied(BufferedAnswer),
}

/// Serves other fronts' claims of keys.
pub(crate) struct KeyClaimHandler {
    pub(crate) key_table: Arc<KeyTable>,
}

#[async_trait]
impl PeerHandler for KeyClaimHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let claim: KeyClaim =
            decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        let key = IdempotencyKey {
            service: claim.service,
            key: claim.key,
        };
        let reply = match self.key_table.claim(key, claim.fingerprint, claim.owner) {
            Ok(None) => KeyClaimReply::Claimed,
            Ok(Some(answer)) => KeyClaimReply::Denied(BufferedAnswer::clone(&answer)),
            Err(error) => KeyClaimReply::Denied(BufferedAnswer::from_error(&error)),
        };
        let frame = encode(&reply).map_err(|error| CallError::may_have_run(error.to_string()))?;
        Ok(frame.into())
    }
}
