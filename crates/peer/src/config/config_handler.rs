use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::split_snapshot;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use serde::Deserialize;
use serde::Serialize;
use spdlog::warn;

use super::ConfigStore;
use super::ConfigView;
use crate::membership::decode;
use crate::membership::encode;
use crate::rpc::PeerHandler;

/// The name of the call that returns the configuration in force.
pub(super) const CALL_NAME: &str = "config";

/// The writer id of snapshots that are sent to peers and never appended to the log.
const SNAPSHOT_WRITER: &str = "peer";

/// Requests one part of the configuration if it is newer than the requester's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ConfigRequest {
    /// The requester's next offset.
    pub(super) have_offset: Offset,
    /// The index of the requested part, from zero.
    pub(super) part: u32,
}

/// The answer to a `ConfigRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ConfigAnswer {
    /// The configuration is not newer; holds the answering daemon's next offset.
    NothingNewer(Offset),
    /// One part of a snapshot, in the format of the log.
    Part {
        /// The next offset after the records that the snapshot covers.
        next_offset: Offset,
        /// The number of parts of the snapshot.
        part_count: u32,
        /// The part as JSON; empty if the snapshot has no such part.
        text: Box<str>,
    },
}

/// The serialized parts of one configuration, cached between requests.
struct SnapshotParts {
    next_offset: Offset,
    texts: Vec<Box<str>>,
}

/// Serves the configuration in force to other daemons.
pub(super) struct ConfigHandler {
    store: Arc<ConfigStore>,
    cached_parts: Mutex<Option<Arc<SnapshotParts>>>,
}

impl ConfigHandler {
    /// Creates a handler that serves the configuration of `store`.
    pub(super) fn new(store: Arc<ConfigStore>) -> Self {
        Self {
            store,
            cached_parts: Mutex::default(),
        }
    }

    fn answer(&self, request: ConfigRequest) -> ConfigAnswer {
        let state = self.store.current();
        if state.next_offset() <= request.have_offset {
            return ConfigAnswer::NothingNewer(state.next_offset());
        }
        let parts = self.snapshot_parts(&state);
        // A part index of an older configuration may be out of range. The requester sees the new
        // offset and restarts from the first part.
        let text = parts.texts.get(request.part as usize);
        ConfigAnswer::Part {
            next_offset: parts.next_offset,
            part_count: parts.texts.len() as u32,
            text: text.cloned().unwrap_or_default(),
        }
    }

    fn snapshot_parts(&self, state: &ConfigState) -> Arc<SnapshotParts> {
        let mut cached = self
            .cached_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(parts) = &*cached
            && parts.next_offset == state.next_offset()
        {
            return Arc::clone(parts);
        }
        let texts = split_snapshot(state, SNAPSHOT_WRITER, 0);
        let texts = texts
            .iter()
            .filter_map(|part| serde_json::to_string(part).ok());
        let parts = Arc::new(SnapshotParts {
            next_offset: state.next_offset(),
            texts: texts.map(Into::into).collect(),
        });
        *cached = Some(Arc::clone(&parts));
        parts
    }
}

#[async_trait]
impl PeerHandler for ConfigHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let request = decode::<ConfigRequest>(&frame).map_err(|error| {
            warn!("config: can't decode a peer's request: {error}");
            CallError::not_run(error.to_string())
        })?;
        let answer = encode(&self.answer(request));
        let frame = answer.map_err(|error| CallError::may_have_run(error.to_string()))?;
        Ok(Bytes::from(frame))
    }
}
