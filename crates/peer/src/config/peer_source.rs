use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;

use super::config_call::ConfigAnswer;
use super::config_call::ConfigRequest;
use super::config_call::HANDLER;
use crate::membership::decode;
use crate::membership::encode;
use crate::rpc::PeerClient;

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
const CALLS_MAX: u32 = 10_000;

/// Takes a daemon's configuration if it is newer than the given offset.
///
/// # Errors
/// The daemon can't be reached, or its answers can't be understood.
pub(super) async fn fetch(
    client: &PeerClient,
    address: SocketAddr,
    have_offset: Offset,
) -> Result<Option<ConfigState>, CallError> {
    let mut assembly = SnapshotAssembler::default();
    let mut expected: Option<Offset> = None;
    let mut part = 0;
    for _ in 0..CALLS_MAX {
        let request = ConfigRequest { have_offset, part };
        let (next_offset, text) = match call(client, address, &request).await? {
            ConfigAnswer::NothingNewer(_) => return Ok(None),
            ConfigAnswer::Part {
                next_offset, text, ..
            } => (next_offset, text),
        };
        if expected.is_some_and(|expected| expected != next_offset) {
            // The daemon has a newer configuration by now.
            expected = None;
            part = 0;
            continue;
        }
        expected = Some(next_offset);
        part += 1;
        let read = assembly.add(&text);
        let read = read.map_err(|error| CallError::may_have_run(error.to_string()))?;
        if let Some(snapshot) = read {
            return Ok(Some(snapshot.state));
        }
    }
    Err(CallError::may_have_run("the configuration has no end"))
}

async fn call(
    client: &PeerClient,
    address: SocketAddr,
    request: &ConfigRequest,
) -> Result<ConfigAnswer, CallError> {
    let frame = encode(request).map_err(|error| CallError::not_run(error.to_string()))?;
    let answer = client
        .call(address, HANDLER, Bytes::from(frame), CALL_TIMEOUT)
        .await?;
    decode(&answer).map_err(|error| CallError::may_have_run(error.to_string()))
}
