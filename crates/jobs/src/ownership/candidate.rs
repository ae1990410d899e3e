use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinError;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::MemberName;
use super::OwnedCells;
use super::OwnerContext;
use super::claim_calls::claim_locally;
use super::claim_calls::group_members;
use super::claim_calls::query_ownership;
use super::claim_calls::request_claim;
use super::host_registry::QUERIED_HOSTS_MAX;
use super::host_registry::hosts_ready_to_claim;
use super::host_registry::register;
use super::host_registry::registered_hosts;
use super::membership::Membership;
use crate::platform::StoreError;

/// The longest wait of a stopping owner for the append of its last records.
const FLUSH_MAX: Duration = Duration::from_millis(800);
/// The pause of a stopping owner between two searches for a successor.
const HANDOVER_PAUSE: Duration = Duration::from_millis(150);
/// The pause between two checks for a claim in progress.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest number of claim requests in one search of a stopping owner for a successor.
const SUCCESSORS_MAX: usize = 2;

/// The candidate of this process in the leader election of cells: a member of the group of hosts
/// that claims cells without an owner.
///
/// The group's assignment only suggests which host should claim a cell. The fencing epoch at the
/// store decides which host may write. A rebalance of the group does not take cells from owners
/// that are still members.
pub struct Candidate {
    context: Arc<OwnerContext>,
    owned_cells: Arc<OwnedCells>,
    draining: CancellationToken,
    handover_max: Duration,
    membership: Arc<Membership>,
}

impl Candidate {
    /// Creates a candidate, which joins the group when [`Self::run`] starts. When the process
    /// drains, the candidate hands its cells over within `handover_max`.
    pub fn new(
        context: Arc<OwnerContext>,
        owned_cells: Arc<OwnedCells>,
        draining: CancellationToken,
        handover_max: Duration,
    ) -> Self {
        Self {
            membership: Arc::new(Membership::new(Arc::clone(&context))),
            context,
            owned_cells,
            draining,
            handover_max,
        }
    }

    /// Takes part in the election until the process drains, then hands the cells over.
    pub async fn run(self) {
        let draining = self.draining.clone();
        // Heartbeats need their own task: a claim may take longer than the time to live.
        tokio::spawn(Arc::clone(&self.membership).run());
        tokio::spawn(register(Arc::clone(&self.context)));
        while !draining.is_cancelled() {
            tokio::select! {
                () = sleep(self.membership.interval()) => {}
                () = draining.cancelled() => break,
            }
            self.remove_released();
            // `TrackedStore` logs failed calls.
            let _ = self.claim_vacant_cells().await;
        }
        let deadline = Instant::now() + self.handover_max;
        // A claim that began before the drain may end after it.
        while self.owned_cells.has_any() && Instant::now() < deadline {
            for owner in self.owned_cells.all() {
                self.hand_over(&owner, deadline).await;
            }
            sleep(CLAIM_POLL_INTERVAL).await;
        }
        self.membership.leave().await;
    }

    /// Releases the owners that another owner has superseded, and removes all released owners.
    fn remove_released(&self) {
        for owner in self.owned_cells.all() {
            let known = self.context.directory.owner(owner.cell());
            if known.is_some_and(|known| known.epoch > owner.epoch()) {
                owner.release("superseded by an owner with a later epoch");
            }
            if !owner.is_active() {
                self.owned_cells.remove(&owner);
            }
        }
    }

    async fn claim_vacant_cells(&self) -> Result<(), StoreError> {
        if self.context.config.current().is_none() {
            return Ok(());
        }
        let assignment = self.membership.assignment();
        for cell in 0..self.context.settings.cell_count {
            let is_owned = self.owned_cells.find(cell).is_some();
            if !is_owned
                && (assignment.partitions.contains(&cell) || self.is_restart_of_owner(cell))
            {
                self.ensure_owner(cell).await?;
            }
        }
        Ok(())
    }

    /// Returns whether the last owner of a cell was an earlier process on this host.
    fn is_restart_of_owner(&self, cell: u32) -> bool {
        let owner = self.context.directory.owner(cell);
        owner.is_some_and(|owner| self.context.member.is_restart_of(&owner.member))
    }

    /// Finds a new owner for a cell if the last one is no longer active.
    ///
    /// If the last owner does not answer, the group decides: the owner keeps its cell while the
    /// group lists it. The group lists only members with assigned partitions and recent heartbeats.
    async fn ensure_owner(&self, cell: u32) -> Result<(), StoreError> {
        self.context.directory.refresh().await?;
        let owner = self.context.directory.owner(cell).map(|owner| owner.member);
        let is_active = match &owner {
            Some(owner) if !self.context.member.is_restart_of(owner) => {
                query_ownership(&self.context, owner, cell).await
            }
            _ => Some(false),
        };
        if is_active == Some(true) {
            return Ok(());
        }
        let hosts = registered_hosts(&self.context).await?;
        if let (None, Some(owner)) = (is_active, &owner) {
            let has_successor = hosts.iter().any(|host| host.is_restart_of(owner));
            if !has_successor && group_members(&self.context).await?.contains(owner) {
                return Ok(());
            }
        }
        let own_priority = self.context.member.election_priority();
        let preferred: Vec<MemberName> = hosts
            .into_iter()
            .filter(|host| host.election_priority() > own_priority)
            .collect();
        for host in hosts_ready_to_claim(&self.context, &preferred).await {
            if request_claim(&self.context, &host, cell).await.is_ok() {
                return Ok(());
            }
        }
        // The claim runs in its own task: a panic must not end the candidate, whose host would hold
        // the cell's partition and never claim the cell again.
        let (context, owned_cells) = (Arc::clone(&self.context), Arc::clone(&self.owned_cells));
        let claim = tokio::spawn(async move { claim_locally(&context, &owned_cells, cell).await });
        let panicked = |error: JoinError| Err(StoreError::Unknown(error.to_string().into()));
        claim.await.unwrap_or_else(panicked)
    }

    /// Hands a cell over to another host, and then releases it.
    ///
    /// The owner stays active until a successor has claimed the cell or the deadline has passed:
    /// while the store is unreachable, no host can claim.
    async fn hand_over(&self, owner: &Arc<CellOwner>, deadline: Instant) {
        owner.flush(FLUSH_MAX).await;
        while owner.is_active()
            && !self.request_successor(owner.cell()).await
            && Instant::now() < deadline
        {
            sleep(HANDOVER_PAUSE).await;
        }
        owner.release("the process is shutting down");
        self.owned_cells.remove(owner);
    }

    /// Requests a claim of the cell from other hosts. Returns whether one of them has claimed it.
    async fn request_successor(&self, cell: u32) -> bool {
        let hosts = registered_hosts(&self.context).await.unwrap_or_default();
        // Hosts that have left for good stay registered, and may come first.
        let mut requests = 0;
        for hosts in hosts.chunks(QUERIED_HOSTS_MAX) {
            for host in hosts_ready_to_claim(&self.context, hosts).await {
                if request_claim(&self.context, &host, cell).await.is_ok() {
                    return true;
                }
                requests += 1;
                if requests >= SUCCESSORS_MAX {
                    return false;
                }
            }
        }
        false
    }
}
