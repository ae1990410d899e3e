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
const OWNS_CELL: &str = "owns-cell";
/// The longest wait for another host to claim a cell; a claim reads all open jobs.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest wait for a host to say whether it owns a cell; many round trips between failure
/// domains.
const OWNS_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Returns whether a host says that it acts for a cell.
pub(super) async fn owns_cell(context: &OwnerContext, member: &MemberName, cell: u32) -> bool {
    let Ok(frame) = encode(&cell) else {
        return false;
    };
    let called = context
        .peers
        .call(member.address, OWNS_CELL, frame, OWNS_TIMEOUT);
    called.await.is_ok()
}

/// Lets other hosts ask this process whether it owns a cell, and ask it to claim one.
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
    handlers.add(OWNS_CELL, Arc::new(OwnsHandler(Arc::clone(board))));
}

struct OwnsHandler(Arc<OwnerBoard>);

#[async_trait]
impl PeerHandler for OwnsHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        // An owner that can't reach the store must be replaced by one that can.
        match self.0.find(cell) {
            Some(owner) if owner.may_renew() => Ok(Bytes::new()),
            _ => Err(CallError::not_run("this host does not own the cell")),
        }
    }
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
