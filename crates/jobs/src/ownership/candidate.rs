use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::MemberName;
use super::OwnedCells;
use super::OwnerContext;
use super::handover::ask_to_claim;
use super::handover::claim_here;
use super::handover::listed_members;
use super::handover::owns_cell;
use super::membership::Membership;
use super::roster::other_hosts;
use super::roster::ready_hosts;
use super::roster::register;
use crate::platform::StoreError;

/// The longest wait of a stopping owner for its last records.
const FLUSH_MAX: Duration = Duration::from_millis(800);
/// The pause after which a stopping owner looks for another host again.
const HANDOVER_PAUSE: Duration = Duration::from_millis(150);
/// How many other hosts a stopping owner asks to take a cell over.
const SUCCESSORS_MAX: usize = 2;

/// Stands for the ownership of cells: stays in the group of hosts and claims what has no owner.
///
/// The group tells who should act, and the epoch at the store decides who may. An owner keeps its
/// cell when the group deals partitions anew, as long as it is a member.
pub struct Candidate {
    context: Arc<OwnerContext>,
    board: Arc<OwnedCells>,
    draining: CancellationToken,
    handover_max: Duration,
    membership: Arc<Membership>,
}

impl Candidate {
    /// Creates a candidate that hands its cells over within `handover_max` once the process
    /// drains; nothing is joined yet.
    pub fn new(
        context: Arc<OwnerContext>,
        board: Arc<OwnedCells>,
        draining: CancellationToken,
        handover_max: Duration,
    ) -> Self {
        Self {
            membership: Arc::new(Membership::new(Arc::clone(&context))),
            context,
            board,
            draining,
            handover_max,
        }
    }

    /// Stands until the process drains, then hands its cells over.
    pub async fn run(self) {
        let draining = self.draining.clone();
        // A claim may take longer than the time to live.
        tokio::spawn(Arc::clone(&self.membership).keep());
        tokio::spawn(register(Arc::clone(&self.context)));
        while !draining.is_cancelled() {
            tokio::select! {
                () = sleep(self.membership.interval()) => {}
                () = draining.cancelled() => break,
            }
            self.drop_released();
            // The store's health is logged where it is tracked.
            let _ = self.fill_vacancies().await;
        }
        let deadline = Instant::now() + self.handover_max;
        for owner in self.board.all() {
            self.hand_over(&owner, deadline).await;
        }
        self.membership.leave().await;
    }

    fn drop_released(&self) {
        for owner in self.board.all() {
            let known = self.context.directory.owner(owner.cell());
            if known.is_some_and(|known| known.epoch > owner.epoch()) {
                owner.release("a later owner has made itself known");
            }
            if !owner.is_active() {
                self.board.remove(&owner);
            }
        }
    }

    async fn fill_vacancies(&self) -> Result<(), StoreError> {
        if self.context.config.current().is_none() {
            return Ok(());
        }
        let share = self.membership.share();
        for cell in 0..self.context.settings.cell_count {
            let is_mine = self.board.find(cell).is_some();
            if !is_mine && (share.partitions.contains(&cell) || self.succeeds_owner(cell)) {
                self.fill(cell).await?;
            }
        }
        Ok(())
    }

    /// Returns whether a cell's owner was an earlier process on this host.
    fn succeeds_owner(&self, cell: u32) -> bool {
        let owner = self.context.directory.owner(cell);
        owner.is_some_and(|owner| self.context.member.is_restart_of(&owner.member))
    }

    /// Finds an owner for a cell if the last one acts no more.
    ///
    /// An owner that can't be asked is left to the group, which names a member only while it holds
    /// partitions and has shown that it lives.
    async fn fill(&self, cell: u32) -> Result<(), StoreError> {
        self.context.directory.refresh().await?;
        let owner = self.context.directory.owner(cell).map(|owner| owner.member);
        let acts = match &owner {
            Some(owner) if !self.context.member.is_restart_of(owner) => {
                owns_cell(&self.context, owner, cell).await
            }
            _ => Some(false),
        };
        if acts == Some(true) {
            return Ok(());
        }
        let hosts = other_hosts(&self.context).await?;
        if let (None, Some(owner)) = (acts, &owner) {
            let has_successor = hosts.iter().any(|host| host.is_restart_of(owner));
            if !has_successor && listed_members(&self.context).await?.contains(owner) {
                return Ok(());
            }
        }
        let own = self.context.member.election_priority();
        let stronger: Vec<MemberName> = hosts
            .into_iter()
            .filter(|host| host.election_priority() > own)
            .collect();
        for host in ready_hosts(&self.context, &stronger).await {
            if ask_to_claim(&self.context, &host, cell).await.is_ok() {
                return Ok(());
            }
        }
        claim_here(&self.context, &self.board, cell).await
    }

    /// Lets another host take a cell over before this process lets go of it.
    ///
    /// Until one has, this process acts on: nobody could take over while the store is away.
    async fn hand_over(&self, owner: &Arc<CellOwner>, deadline: Instant) {
        owner.flush(FLUSH_MAX).await;
        while owner.is_active() && !self.offer(owner.cell()).await && Instant::now() < deadline {
            sleep(HANDOVER_PAUSE).await;
        }
        owner.release("this process stops");
        self.board.remove(owner);
    }

    /// Offers a cell to other hosts; returns whether one has claimed it.
    async fn offer(&self, cell: u32) -> bool {
        let hosts = other_hosts(&self.context).await.unwrap_or_default();
        let ready = ready_hosts(&self.context, &hosts).await;
        for host in ready.iter().take(SUCCESSORS_MAX) {
            if ask_to_claim(&self.context, host, cell).await.is_ok() {
                return true;
            }
        }
        false
    }
}
