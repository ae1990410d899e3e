use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::OwnerContext;
use super::topics::HOSTS;
use crate::platform::GroupAssignment;

/// Signs of life under way at once; more would pile up while the store is silent.
const SIGNS_AT_ONCE_MAX: usize = 4;
/// How often a member shows that it lives, in its time to live.
const SIGNS_PER_TTL: u32 = 5;

/// This process's place in the group of hosts.
///
/// Signs of life don't wait for each other: one whose answer is lost has still arrived.
pub(super) struct Membership {
    context: Arc<OwnerContext>,
    share: Arc<Mutex<GroupAssignment>>,
    under_way: Arc<Semaphore>,
    has_left: CancellationToken,
}

impl Membership {
    pub(super) fn new(context: Arc<OwnerContext>) -> Self {
        Self {
            context,
            share: Arc::default(),
            under_way: Arc::new(Semaphore::new(SIGNS_AT_ONCE_MAX)),
            has_left: CancellationToken::new(),
        }
    }

    /// Returns the time between signs of life.
    pub(super) fn interval(&self) -> Duration {
        self.context.settings.membership_ttl / SIGNS_PER_TTL
    }

    /// Returns what the group gave this process last.
    pub(super) fn share(&self) -> GroupAssignment {
        let share = self.share.lock().unwrap_or_else(PoisonError::into_inner);
        share.clone()
    }

    /// Shows that this process lives until it leaves.
    pub(super) async fn keep(self: Arc<Self>) {
        while !self.has_left.is_cancelled() {
            self.show();
            tokio::select! {
                () = sleep(self.interval()) => {}
                () = self.has_left.cancelled() => {}
            }
        }
    }

    /// Sends a sign of life without waiting for its answer.
    fn show(&self) {
        let Ok(permit) = Arc::clone(&self.under_way).try_acquire_owned() else {
            return;
        };
        let context = Arc::clone(&self.context);
        let share = Arc::clone(&self.share);
        let generation = self.share().generation;
        tokio::spawn(async move {
            let member = context.member.to_string();
            let ttl = context.settings.membership_ttl;
            // The store's health is logged where it is tracked.
            if let Ok(joined) = context.store.join(HOSTS, &member, ttl, generation).await {
                let mut share = share.lock().unwrap_or_else(PoisonError::into_inner);
                if joined.generation >= share.generation {
                    *share = joined;
                }
            }
            drop(permit);
        });
    }

    /// Leaves the group.
    pub(super) async fn leave(&self) {
        self.has_left.cancel();
        let member = self.context.member.to_string();
        // Without it the others notice when the time to live is over.
        let _ = self.context.store.leave(HOSTS, &member).await;
    }
}
