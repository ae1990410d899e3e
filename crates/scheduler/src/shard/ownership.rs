use std::sync::Arc;
use std::time::Duration;

use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::HostId;
use rapidhash::v3::rapidhash_v3;
use spdlog::info;
use spdlog::warn;
use tokio::task::JoinSet;

use super::interference_monitor::InterferenceMonitor;
use super::shard_task::ShardTask;
use crate::run_commands::RunCommandError;
use crate::worker::RenewalRight;

const CLAIM_RETRY_INTERVAL: Duration = Duration::from_secs(2);
const CLAIMANT_LOG_SILENCE_MAX_MS: u64 = 30_000;

impl ShardTask {
    /// Returns whether this process owns the shard, according to the records read so far.
    pub(super) fn is_owner(&self) -> bool {
        self.state.owner().is_some_and(|owner| {
            owner.host == self.context.host && owner.incarnation == self.context.incarnation
        })
    }

    /// Gains or loses ownership according to the records applied so far.
    pub(super) fn update_ownership(&mut self) {
        let held_epoch = self.renewal_right.as_ref().map(|right| right.epoch());
        let owned_epoch = self.is_owner().then(|| self.state.epoch());
        if held_epoch == owned_epoch {
            return;
        }
        if held_epoch.is_some() {
            self.lose_ownership();
        }
        if owned_epoch.is_some() {
            self.gain_ownership();
        }
    }

    /// Extends the renewal right after a read that reached the end of the log. The read was sent at
    /// `requested_at_ms`, so no later claim existed then.
    pub(super) fn extend_renewal_right(&self, requested_at_ms: u64) {
        if let Some(right) = &self.renewal_right {
            let renewal_right = self.context.lease_times.renewal_right;
            right.extend(requested_at_ms + renewal_right.as_millis() as u64);
        }
    }

    /// Begins an ownership; nothing starts until the renewal right is extended.
    fn gain_ownership(&mut self) {
        info!("shard: gained ownership of {}", self.context.shard);
        let clock = Arc::clone(&self.context.clock);
        let right = RenewalRight::new(clock, self.state.epoch());
        self.renewal_right = Some(Arc::new(right));
        self.owned_since_ms = self.now_ms();
        self.workers_changed = true;
        self.rebuild_derived_state();
        self.last_snapshot_at_ms = self.now_ms();
    }

    /// Rebuilds placement and interference control from the shard's state.
    pub(super) fn rebuild_derived_state(&mut self) {
        self.placer.rebuild(&self.state);
        self.interference = InterferenceMonitor::new((self.context.create_controller)());
        let now_ms = self.now_ms();
        for attempt in self.state.open_attempts().keys() {
            self.interference.record_start(&self.state, attempt, now_ms);
        }
    }

    /// Drops the state that only an owner has.
    ///
    /// Records that have not been read back by now never take effect, since their epoch has ended.
    fn lose_ownership(&mut self) {
        warn!("shard: lost ownership of {}", self.context.shard);
        self.drop_workers();
        self.renewal_right = None;
        self.queued_ends.clear();
        self.queued_requests.clear();
        self.inventories.clear();
        self.silent_since_unix_ms.clear();
        self.cool_off_until_ms.clear();
        self.attempts_with_queued_end.clear();
        self.evicting.clear();
        self.placement_wait_reasons.clear();
        self.departure = None;
        self.deliveries.clear();
        self.relocations = JoinSet::new();
        self.queued_moves.clear();
        self.evacuation.reset(&self.context.metrics);
        self.appender.discard_batch();
        self.replies.answer_all(&Err(RunCommandError::NotOwner));
    }

    fn drop_workers(&mut self) {
        self.workers.clear();
        self.latest_answers.clear();
        self.applied_hosts = None;
    }

    /// Claims a shard without a live owner, if this host ranks first among the live schedulers.
    ///
    /// Hosts are ranked by rendezvous hashing. Schedulers without recent contact with the log do
    /// not count as live.
    pub(super) fn claim_if_due(&mut self) {
        let now_ms = self.now_ms();
        if self.is_releasing || !self.has_caught_up || now_ms < self.claim_not_before_ms {
            return;
        }
        let mut peers = self.context.membership.live_peers(Role::Scheduler);
        peers.retain(reaches_log);
        let owner_lives = self.state.owner().is_some_and(|owner| {
            peers.iter().any(|peer| {
                peer.heartbeat.member.host == owner.host
                    && peer.heartbeat.incarnation == owner.incarnation
            })
        });
        let hosts = peers.iter().map(|peer| &peer.heartbeat.member.host);
        let preferred = hosts.max_by_key(|host| self.rendezvous_weight(host));
        if owner_lives || preferred != Some(&self.context.host) {
            return;
        }
        self.claim_not_before_ms = now_ms + CLAIM_RETRY_INTERVAL.as_millis() as u64;
        self.appender
            .set_batch(self.state.epoch().next(), vec![ShardEvent::Claim]);
    }

    fn rendezvous_weight(&self, host: &HostId) -> u64 {
        rapidhash_v3(format!("{}@{host}", self.context.shard).as_bytes())
    }

    /// Begins the release of the shard on a planned stop; running attempts keep their leases.
    ///
    /// Requests that have not been appended are rejected. A batch in flight is read back before
    /// the release is recorded.
    pub(super) fn begin_release(&mut self) {
        self.is_releasing = true;
        self.drop_workers();
        let requests = std::mem::take(&mut self.queued_requests);
        for event in requests {
            self.answer_requesters(&event, &Err(RunCommandError::NotOwner));
        }
        self.queued_ends.clear();
        self.queued_moves.clear();
        self.relocations = JoinSet::new();
    }

    /// Appends the release once no other batch is in flight; returns whether the shard is released.
    pub(super) fn advance_release(&mut self) -> bool {
        if !self.is_owner() {
            return true;
        }
        if !self.appender.has_batch() {
            self.appender
                .set_batch(self.state.epoch(), vec![ShardEvent::Release]);
        }
        self.append_if_due();
        false
    }
}

/// Returns whether a peer had recent contact with the log; a peer that reports no age counts as
/// connected.
fn reaches_log(peer: &Member) -> bool {
    let age_ms = peer.heartbeat.log_contact_age_ms;
    age_ms.is_none_or(|age_ms| age_ms < CLAIMANT_LOG_SILENCE_MAX_MS)
}
