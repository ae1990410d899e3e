use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::CellOwner;
use super::MemberName;
use super::OwnerBoard;
use super::OwnerContext;
use super::OwnerDirectory;
use super::topics::HOSTS;
use crate::border::StoreError;

/// How often a member shows that it lives, in its time to live.
const SIGNS_PER_TTL: u32 = 3;
/// The longest wait of a stopping owner for its last records.
const FLUSH_MAX: Duration = Duration::from_millis(800);

/// Stands for the ownership of cells: joins the group of hosts and claims what has no owner.
///
/// The group tells who should act, and the epoch at the store decides who may. An owner keeps its
/// cell when the group deals partitions anew, as long as it is a member.
pub struct Candidate {
    context: Arc<OwnerContext>,
    board: Arc<OwnerBoard>,
    draining: CancellationToken,
    generation: u64,
}

impl Candidate {
    /// Creates a candidate; nothing is joined yet.
    pub fn new(
        context: Arc<OwnerContext>,
        board: Arc<OwnerBoard>,
        draining: CancellationToken,
    ) -> Self {
        Self {
            context,
            board,
            draining,
            generation: 0,
        }
    }

    /// Stands until the process drains, then hands its cells over.
    pub async fn run(mut self) {
        let draining = self.draining.clone();
        let pause = self.context.settings.membership_ttl / SIGNS_PER_TTL;
        while !draining.is_cancelled() {
            // The store's health is logged where it is tracked.
            let _ = self.stand().await;
            tokio::select! {
                () = sleep(pause) => {}
                () = draining.cancelled() => {}
            }
        }
        for owner in self.board.all() {
            owner.flush(FLUSH_MAX).await;
            owner.release("this process stops");
            self.board.remove(owner.cell());
        }
        let member = self.context.member.to_string();
        // Without it the others notice when the time to live is over.
        let _ = self.context.store.leave(HOSTS, &member).await;
    }

    async fn stand(&mut self) -> Result<(), StoreError> {
        let member = self.context.member.to_string();
        let ttl = self.context.settings.membership_ttl;
        let store = &self.context.store;
        let share = store.join(HOSTS, &member, ttl, self.generation).await?;
        self.generation = share.generation;
        for owner in self.board.all() {
            let known = self.context.directory.owner(owner.cell());
            if known.is_some_and(|known| known.epoch > owner.epoch()) {
                owner.release("a later owner has made itself known");
            }
            if !owner.is_active() {
                self.board.remove(owner.cell());
            }
        }
        if self.context.config.current().is_none() {
            return Ok(());
        }
        for cell in 0..self.context.settings.cell_count {
            let is_mine = self.board.find(cell).is_some();
            if !is_mine && share.partitions.contains(&cell) && self.is_vacant(cell).await? {
                let owner = CellOwner::claim(Arc::clone(&self.context), cell).await?;
                self.board.add(owner);
            }
        }
        Ok(())
    }

    /// Returns whether the last owner of a cell is no member any more.
    async fn is_vacant(&self, cell: u32) -> Result<bool, StoreError> {
        let directory: &OwnerDirectory = &self.context.directory;
        directory.refresh().await?;
        let Some(owner) = directory.owner(cell) else {
            return Ok(true);
        };
        if owner.member.host == self.context.member.host {
            // An earlier life of this process.
            return Ok(true);
        }
        let owners = self.context.store.owners(HOSTS).await?;
        let members: BTreeSet<&str> = owners.iter().map(|owner| &*owner.member).collect();
        let is_member = members
            .into_iter()
            .filter_map(|member| MemberName::from_str(member).ok())
            .any(|member| member == owner.member);
        Ok(!is_member)
    }
}
