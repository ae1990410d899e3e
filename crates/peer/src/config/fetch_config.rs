use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;

use super::config_handler::CALL_NAME;
use super::config_handler::ConfigAnswer;
use super::config_handler::ConfigRequest;
use crate::membership::decode;
use crate::membership::encode;
use crate::rpc::PeerClient;

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
const CALLS_MAX: u32 = 10_000;

/// Fetches a daemon's configuration part by part if it is newer than `have_offset`.
///
/// Returns `None` if the daemon has nothing newer.
///
/// # Errors
/// A call failed, an answer can't be decoded, or the parts form no snapshot.
pub(super) async fn fetch_config(
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
            // The daemon's configuration changed between two parts, so the transfer restarts.
            expected = None;
            part = 0;
            continue;
        }
        expected = Some(next_offset);
        part += 1;
        let assembled = assembly.add(&text);
        let assembled = assembled.map_err(|error| CallError::may_have_run(error.to_string()))?;
        if let Some(snapshot) = assembled {
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
        .call(address, CALL_NAME, Bytes::from(frame), CALL_TIMEOUT)
        .await?;
    decode(&answer).map_err(|error| CallError::may_have_run(error.to_string()))
}
