use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_types::CallError;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::MemberName;
use super::OwnedCells;
use super::OwnerContext;
use super::topics::HOSTS;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::platform::StoreError;

const CLAIM_CELL: &str = "claim-cell";
const OWNS_CELL: &str = "owns-cell";
const MAY_CLAIM: &str = "may-claim";
/// The longest wait for another host to claim a cell; a claim reads all open jobs.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The time between looks at a claim that is under way in this process.
const CLAIM_LOOK: Duration = Duration::from_millis(20);

/// The longest wait for a host to say whether it owns a cell or may; many round trips between
/// failure domains.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the members that hold partitions of the group, as they named themselves.
pub(super) async fn listed_members(context: &OwnerContext) -> Result<Vec<MemberName>, StoreError> {
    let owners = context.store.owners(HOSTS).await?;
    let members = owners
        .iter()
        .map(|owner| MemberName::from_str(&owner.member));
    Ok(members.filter_map(Result::ok).collect())
}

/// Returns whether a host says that it may claim a cell.
pub(super) async fn may_claim(context: &OwnerContext, member: &MemberName) -> bool {
    let called = context
        .peers
        .call(member.address, MAY_CLAIM, Bytes::new(), ASK_TIMEOUT);
    called.await.is_ok()
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

/// Returns whether a host owns a cell or is about to; `None` if it can't be asked.
pub(super) async fn owns_cell(
    context: &OwnerContext,
    member: &MemberName,
    cell: u32,
) -> Option<bool> {
    let frame = encode(&cell).ok()?;
    let called = context
        .peers
        .call(member.address, OWNS_CELL, frame, ASK_TIMEOUT);
    decode(&called.await.ok()?).ok()
}

/// Claims a cell for this process unless it owns it; waits for a claim that is under way.
///
/// # Errors
/// The store can't be reached, or another host claims the cell as well.
pub(super) async fn claim_here(
    context: &Arc<OwnerContext>,
    board: &Arc<OwnedCells>,
    cell: u32,
) -> Result<(), StoreError> {
    loop {
        if board.find(cell).is_some() {
            return Ok(());
        }
        let Some(_mark) = board.begin_claim(cell) else {
            sleep(CLAIM_LOOK).await;
            continue;
        };
        let owner = CellOwner::claim(Arc::clone(context), cell).await?;
        board.add(owner);
    }
}

/// Lets other hosts ask this process whether it owns a cell, and ask it to claim one.
pub fn add_claim_handlers(
    handlers: &PeerHandlers,
    context: &Arc<OwnerContext>,
    board: &Arc<OwnedCells>,
    draining: CancellationToken,
) {
    let handler = ClaimHandler {
        context: Arc::clone(context),
        board: Arc::clone(board),
        draining,
    };
    handlers.add(MAY_CLAIM, Arc::new(MayClaimHandler(handler.clone())));
    handlers.add(CLAIM_CELL, Arc::new(handler));
    handlers.add(OWNS_CELL, Arc::new(OwnsHandler(Arc::clone(board))));
}

struct OwnsHandler(Arc<OwnedCells>);

#[async_trait]
impl PeerHandler for OwnsHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        // An owner that can't reach the store must be replaced by one that can.
        let acts = self.0.find(cell).is_some_and(|owner| owner.may_renew());
        let owns = acts || self.0.is_claiming(cell);
        encode(&owns).map_err(|error| CallError::not_run(error.to_string()))
    }
}

#[derive(Clone)]
struct ClaimHandler {
    context: Arc<OwnerContext>,
    board: Arc<OwnedCells>,
    draining: CancellationToken,
}

impl ClaimHandler {
    fn check(&self) -> Result<(), CallError> {
        let context = &self.context;
        let is_fit = !self.draining.is_cancelled()
            && context.config.current().is_some()
            && context.health.time_since_contact() <= context.settings.renewal_right;
        match is_fit {
            true => Ok(()),
            false => Err(CallError::not_run("this host takes no cell now")),
        }
    }
}

struct MayClaimHandler(ClaimHandler);

#[async_trait]
impl PeerHandler for MayClaimHandler {
    async fn call(&self, _frame: Bytes) -> Result<Bytes, CallError> {
        self.0.check().map(|()| Bytes::new())
    }
}

#[async_trait]
impl PeerHandler for ClaimHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        self.check()?;
        let context = Arc::clone(&self.context);
        let board = Arc::clone(&self.board);
        // A caller that waits no longer must not leave a claim half done.
        let claimed = tokio::spawn(async move { claim_here(&context, &board, cell).await });
        let claimed = claimed
            .await
            .map_err(|error| CallError::may_have_run(error.to_string()))?;
        claimed.map_err(|error| CallError::not_run(error.to_string()))?;
        Ok(Bytes::new())
    }
}
