use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::OwnerBoard;
use super::OwnerContext;
use super::handover::ask_to_claim;
use super::handover::other_members;
use super::membership::Membership;
use crate::border::StoreError;

/// The longest wait of a stopping owner for its last records.
const FLUSH_MAX: Duration = Duration::from_millis(800);
/// How many other hosts a stopping owner asks to take a cell over.
const SUCCESSORS_MAX: usize = 2;

/// Stands for the ownership of cells: stays in the group of hosts and claims what has no owner.
///
/// The group tells who should act, and the epoch at the store decides who may. An owner keeps its
/// cell when the group deals partitions anew, as long as it is a member.
pub struct Candidate {
    context: Arc<OwnerContext>,
    board: Arc<OwnerBoard>,
    draining: CancellationToken,
    membership: Membership,
}

impl Candidate {
    /// Creates a candidate; nothing is joined yet.
    pub fn new(
        context: Arc<OwnerContext>,
        board: Arc<OwnerBoard>,
        draining: CancellationToken,
    ) -> Self {
        Self {
            membership: Membership::new(Arc::clone(&context)),
            context,
            board,
            draining,
        }
    }

    /// Stands until the process drains, then hands its cells over.
    pub async fn run(self) {
        let draining = self.draining.clone();
        while !draining.is_cancelled() {
            self.membership.show();
            tokio::select! {
                () = sleep(self.membership.interval()) => {}
                () = draining.cancelled() => break,
            }
            self.drop_released();
            // The store's health is logged where it is tracked.
            let _ = self.fill_vacancies().await;
        }
        for owner in self.board.all() {
            self.hand_over(&owner).await;
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
            if !is_mine && share.partitions.contains(&cell) {
                self.fill(cell).await?;
            }
        }
        Ok(())
    }

    /// Finds an owner for a cell if the last one is no member any more.
    async fn fill(&self, cell: u32) -> Result<(), StoreError> {
        self.context.directory.refresh().await?;
        let others = other_members(&self.context).await?;
        if let Some(owner) = self.context.directory.owner(cell) {
            // A later process on the owner's host tells that the owner is gone.
            let has_successor = others.iter().any(|member| {
                member.host == owner.member.host && member.incarnation > owner.member.incarnation
            });
            if others.contains(&owner.member) && !has_successor {
                return Ok(());
            }
        }
        let own = self.context.member.suitability();
        let better = others.first().filter(|member| member.suitability() > own);
        if let Some(member) = better
            && ask_to_claim(&self.context, member, cell).await.is_ok()
        {
            return Ok(());
        }
        let owner = CellOwner::claim(Arc::clone(&self.context), cell).await?;
        self.board.add(owner);
        Ok(())
    }

    /// Lets another host take a cell over before this process lets go of it.
    async fn hand_over(&self, owner: &Arc<CellOwner>) {
        owner.flush(FLUSH_MAX).await;
        let others = other_members(&self.context).await.unwrap_or_default();
        for member in others.iter().take(SUCCESSORS_MAX) {
            if ask_to_claim(&self.context, member, owner.cell())
                .await
                .is_ok()
            {
                break;
            }
        }
        owner.release("this process stops");
        self.board.remove(owner);
    }
}
