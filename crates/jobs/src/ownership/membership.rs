use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::OwnerContext;
use super::topics::HOST_GROUP;
use crate::platform::GroupAssignment;

/// Concurrent heartbeats; without a limit they would pile up while the store does not answer.
const HEARTBEATS_IN_FLIGHT_MAX: usize = 4;
/// Heartbeats within one time to live of the membership.
const HEARTBEATS_PER_TTL: u32 = 5;

/// The membership of this process in the group of hosts.
///
/// Heartbeats are sent without waiting for the previous answer: a heartbeat whose answer is lost
/// may still have reached the store.
pub(super) struct Membership {
    context: Arc<OwnerContext>,
    assignment: Arc<Mutex<GroupAssignment>>,
    in_flight: Arc<Semaphore>,
    has_left: CancellationToken,
}

impl Membership {
    pub(super) fn new(context: Arc<OwnerContext>) -> Self {
        Self {
            context,
            assignment: Arc::default(),
            in_flight: Arc::new(Semaphore::new(HEARTBEATS_IN_FLIGHT_MAX)),
            has_left: CancellationToken::new(),
        }
    }

    /// Returns the time between two heartbeats.
    pub(super) fn interval(&self) -> Duration {
        self.context.settings.membership_ttl / HEARTBEATS_PER_TTL
    }

    /// Returns the latest assignment of partitions to this process.
    pub(super) fn assignment(&self) -> GroupAssignment {
        let assignment = self
            .assignment
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        assignment.clone()
    }

    /// Sends heartbeats until [`Self::leave`] is called.
    pub(super) async fn run(self: Arc<Self>) {
        while !self.has_left.is_cancelled() {
            self.send_heartbeat();
            tokio::select! {
                () = sleep(self.interval()) => {}
                () = self.has_left.cancelled() => {}
            }
        }
    }

    /// Sends a heartbeat in the background, unless too many are in flight.
    fn send_heartbeat(&self) {
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            return;
        };
        let context = Arc::clone(&self.context);
        let assignment = Arc::clone(&self.assignment);
        let generation = self.assignment().generation;
        tokio::spawn(async move {
            let member = context.member.to_string();
            let ttl = context.settings.membership_ttl;
            // `TrackedStore` logs failed calls.
            if let Ok(joined) = context
                .store
                .join(HOST_GROUP, &member, ttl, generation)
                .await
            {
                let mut assignment = assignment.lock().unwrap_or_else(PoisonError::into_inner);
                if joined.generation >= assignment.generation {
                    *assignment = joined;
                }
            }
            drop(permit);
        });
    }

    /// Stops the heartbeats and leaves the group.
    pub(super) async fn leave(&self) {
        self.has_left.cancel();
        let member = self.context.member.to_string();
        // If the call fails, the membership ends with its time to live.
        let _ = self.context.store.leave(HOST_GROUP, &member).await;
    }
}
