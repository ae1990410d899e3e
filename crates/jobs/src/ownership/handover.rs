use std::cmp::Reverse;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_types::CallError;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::MemberName;
use super::OwnerBoard;
use super::OwnerContext;
use super::topics::HOSTS;
use crate::border::StoreError;
use crate::ledger::decode;
use crate::ledger::encode;

const CLAIM_CELL: &str = "claim-cell";
/// The longest wait for another host to claim a cell; a claim reads all open jobs.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns the members of the group but this process, those that suit best as owners first.
pub(super) async fn other_members(context: &OwnerContext) -> Result<Vec<MemberName>, StoreError> {
    let owners = context.store.owners(HOSTS).await?;
    let mut members: Vec<MemberName> = owners
        .iter()
        .filter_map(|owner| MemberName::from_str(&owner.member).ok())
        .filter(|member| member.host != context.member.host)
        .collect();
    members.sort_by_key(|member| Reverse(member.suitability()));
    members.dedup();
    Ok(members)
}

/// Asks another host to claim a cell now.
///
/// # Errors
/// The host can't be reached, stops itself, or could not claim the cell.
pub(super) async fn ask_to_claim(
    context: &OwnerContext,
    member: &MemberName,
    cell: u32,
) -> Result<(), CallError> {
    let frame = encode(&cell).map_err(|error| CallError::not_run(error.to_string()))?;
    let called = context
        .peers
        .call(member.address, CLAIM_CELL, frame, CLAIM_TIMEOUT);
    called.await.map(|_| ())
}

/// Lets other hosts ask this process to claim a cell.
pub fn add_claim_handler(
    handlers: &PeerHandlers,
    context: &Arc<OwnerContext>,
    board: &Arc<OwnerBoard>,
    draining: CancellationToken,
) {
    let handler = ClaimHandler {
        context: Arc::clone(context),
        board: Arc::clone(board),
        draining,
    };
    handlers.add(CLAIM_CELL, Arc::new(handler));
}

struct ClaimHandler {
    context: Arc<OwnerContext>,
    board: Arc<OwnerBoard>,
    draining: CancellationToken,
}

#[async_trait]
impl PeerHandler for ClaimHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        if self.draining.is_cancelled() || self.context.config.current().is_none() {
            return Err(CallError::not_run("this host takes no cell now"));
        }
        if self.board.find(cell).is_none() {
            let claimed = CellOwner::claim(Arc::clone(&self.context), cell).await;
            let owner = claimed.map_err(|error| CallError::not_run(error.to_string()))?;
            self.board.add(owner);
        }
        Ok(Bytes::new())
    }
}
