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
use super::topics::HOST_GROUP;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::platform::StoreError;

const CLAIM_CELL: &str = "claim-cell";
const OWNS_CELL: &str = "owns-cell";
const MAY_CLAIM: &str = "may-claim";
/// The longest wait for another host to claim a cell. A claim reads all open jobs from the store.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The polling interval while another claim of the same cell is in progress in this process.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of a query for ownership or readiness; many times the round trip between failure
/// domains.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the members of the group that have assigned partitions.
pub(super) async fn group_members(context: &OwnerContext) -> Result<Vec<MemberName>, StoreError> {
    let owners = context.store.owners(HOST_GROUP).await?;
    let members = owners
        .iter()
        .map(|owner| MemberName::from_str(&owner.member));
    Ok(members.filter_map(Result::ok).collect())
}

/// Queries whether another host may claim cells. A host that does not answer may not.
pub(super) async fn query_may_claim(context: &OwnerContext, member: &MemberName) -> bool {
    let called = context
        .peers
        .call(member.address, MAY_CLAIM, Bytes::new(), QUERY_TIMEOUT);
    called.await.is_ok()
}

/// Requests that another host claims a cell now.
///
/// # Errors
/// The host is unreachable, is shutting down, or failed to claim the cell.
pub(super) async fn request_claim(
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

/// Queries whether another host owns or is claiming a cell. Returns `None` without an answer.
pub(super) async fn query_ownership(
    context: &OwnerContext,
    member: &MemberName,
    cell: u32,
) -> Option<bool> {
    let frame = encode(&cell).ok()?;
    let called = context
        .peers
        .call(member.address, OWNS_CELL, frame, QUERY_TIMEOUT);
    decode(&called.await.ok()?).ok()
}

/// Claims a cell for this process, unless this process already owns the cell. Waits for a claim
/// that is already in progress.
///
/// # Errors
/// The store is unreachable, or another host claims the cell at the same time.
pub(super) async fn claim_locally(
    context: &Arc<OwnerContext>,
    owned_cells: &Arc<OwnedCells>,
    cell: u32,
) -> Result<(), StoreError> {
    loop {
        if owned_cells.find(cell).is_some() {
            return Ok(());
        }
        let Some(_guard) = owned_cells.try_begin_claim(cell) else {
            sleep(CLAIM_POLL_INTERVAL).await;
            continue;
        };
        let owner = CellOwner::claim(Arc::clone(context), cell).await?;
        owned_cells.add(owner);
    }
}

/// Registers the handlers for the peer calls `claim-cell`, `owns-cell` and `may-claim`.
pub fn add_claim_handlers(
    handlers: &PeerHandlers,
    context: &Arc<OwnerContext>,
    owned_cells: &Arc<OwnedCells>,
    draining: CancellationToken,
) {
    let handler = ClaimHandler {
        context: Arc::clone(context),
        owned_cells: Arc::clone(owned_cells),
        draining,
    };
    handlers.add(MAY_CLAIM, Arc::new(MayClaimHandler(handler.clone())));
    handlers.add(CLAIM_CELL, Arc::new(handler));
    handlers.add(
        OWNS_CELL,
        Arc::new(OwnsCellHandler(Arc::clone(owned_cells))),
    );
}

struct OwnsCellHandler(Arc<OwnedCells>);

#[async_trait]
impl PeerHandler for OwnsCellHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        // An owner without contact to the store must be replaced by one with contact.
        let is_live = self
            .0
            .find(cell)
            .is_some_and(|owner| owner.should_keep_cell());
        let owns = is_live || self.0.is_claiming(cell);
        encode(&owns).map_err(|error| CallError::not_run(error.to_string()))
    }
}

#[derive(Clone)]
struct ClaimHandler {
    context: Arc<OwnerContext>,
    owned_cells: Arc<OwnedCells>,
    draining: CancellationToken,
}

impl ClaimHandler {
    /// Returns an error if this process must not claim cells now.
    fn check_may_claim(&self) -> Result<(), CallError> {
        let context = &self.context;
        let may_claim = !self.draining.is_cancelled()
            && context.config.current().is_some()
            && context.health.time_since_contact() <= context.settings.renewal_right;
        match may_claim {
            true => Ok(()),
            false => Err(CallError::not_run("this host takes no cell now")),
        }
    }
}

struct MayClaimHandler(ClaimHandler);

#[async_trait]
impl PeerHandler for MayClaimHandler {
    async fn call(&self, _frame: Bytes) -> Result<Bytes, CallError> {
        self.0.check_may_claim().map(|()| Bytes::new())
    }
}

#[async_trait]
impl PeerHandler for ClaimHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let cell = decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        self.check_may_claim()?;
        let context = Arc::clone(&self.context);
        let owned_cells = Arc::clone(&self.owned_cells);
        // The claim runs in its own task: a caller that stops waiting must not leave it half done.
        let claimed =
            tokio::spawn(async move { claim_locally(&context, &owned_cells, cell).await });
        let claimed = claimed
            .await
            .map_err(|error| CallError::may_have_run(error.to_string()))?;
        claimed.map_err(|error| CallError::not_run(error.to_string()))?;
        Ok(Bytes::new())
    }
}
