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

/// The name of the call that gives the configuration in force.
pub(super) const HANDLER: &str = "config";

const WRITER: &str = "peer";

/// Asks for the configuration if it is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ConfigRequest {
    /// The asker's next offset.
    pub(super) have_offset: Offset,
    /// The number of the part that is asked for, from zero.
    pub(super) part: u32,
}

/// Answers a request for the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ConfigAnswer {
    /// The answering daemon has nothing newer; its next offset.
    NothingNewer(Offset),
    /// One part of a snapshot, as the log would carry it.
    Part {
        /// The offset that the whole snapshot has.
        next_offset: Offset,
        /// The number of all parts.
        part_count: u32,
        /// The part's text.
        text: Box<str>,
    },
}

/// The parts of one configuration, kept for the next requests.
struct Parts {
    next_offset: Offset,
    texts: Vec<Box<str>>,
}

/// Gives the configuration in force to other daemons.
pub(super) struct ConfigCall {
    store: Arc<ConfigStore>,
    parts: Mutex<Option<Arc<Parts>>>,
}

impl ConfigCall {
    /// Creates the handler of one daemon.
    pub(super) fn new(store: Arc<ConfigStore>) -> Self {
        Self {
            store,
            parts: Mutex::default(),
        }
    }

    fn answer(&self, request: ConfigRequest) -> ConfigAnswer {
        let state = self.store.current();
        if state.next_offset() <= request.have_offset {
            return ConfigAnswer::NothingNewer(state.next_offset());
        }
        let parts = self.parts_of(&state);
        // A request for a part of an older configuration starts again with the first part.
        let text = parts.texts.get(request.part as usize);
        ConfigAnswer::Part {
            next_offset: parts.next_offset,
            part_count: parts.texts.len() as u32,
            text: text.cloned().unwrap_or_default(),
        }
    }

    fn parts_of(&self, state: &ConfigState) -> Arc<Parts> {
        let mut kept = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(parts) = &*kept
            && parts.next_offset == state.next_offset()
        {
            return Arc::clone(parts);
        }
        let texts = split_snapshot(state, WRITER, 0);
        let texts = texts
            .iter()
            .filter_map(|part| serde_json::to_string(part).ok());
        let parts = Arc::new(Parts {
            next_offset: state.next_offset(),
            texts: texts.map(Into::into).collect(),
        });
        *kept = Some(Arc::clone(&parts));
        parts
    }
}

#[async_trait]
impl PeerHandler for ConfigCall {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let request = decode::<ConfigRequest>(&frame).map_err(|error| {
            warn!("config: a peer's request refused: {error}");
            CallError::not_run(error.to_string())
        })?;
        let answer = encode(&self.answer(request));
        let frame = answer.map_err(|error| CallError::may_have_run(error.to_string()))?;
        Ok(Bytes::from(frame))
    }
}
