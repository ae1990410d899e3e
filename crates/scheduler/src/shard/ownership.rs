use std::sync::Arc;
use std::time::Duration;

use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_types::ids::HostId;
use rapidhash::v3::rapidhash_v3;
use spdlog::info;
use spdlog::warn;

use super::interference_watch::InterferenceWatch;
use super::shard_task::ShardTask;
use crate::run_ledger::SubmitError;
use crate::worker::RenewalRight;

const CLAIM_PAUSE: Duration = Duration::from_secs(2);
const LOG_SILENCE_MAX_MS: u64 = 30_000;

impl ShardTask {
    /// Returns whether this process owns the shard as far as the stream was read.
    pub(super) fn is_owner(&self) -> bool {
        self.state.owner().is_some_and(|owner| {
            owner.host == self.context.host && owner.incarnation == self.context.incarnation
        })
    }

    /// Compares ownership before and after records were applied.
    pub(super) fn follow_ownership(&mut self, asked_at_ms: u64) {
        let held = self.right.as_ref().map(|right| right.epoch());
        let owned = self.is_owner().then(|| self.state.epoch());
        if held == owned {
            self.extend_right(asked_at_ms);
            return;
        }
        if held.is_some() {
            self.lose_ownership();
        }
        if owned.is_some() {
            self.gain_ownership(asked_at_ms);
        }
    }

    fn right_ends_at_ms(&self, asked_at_ms: u64) -> u64 {
        asked_at_ms + self.context.times.renewal_right.as_millis() as u64
    }

    fn extend_right(&self, asked_at_ms: u64) {
        if let Some(right) = &self.right {
            right.extend(self.right_ends_at_ms(asked_at_ms));
        }
    }

    fn gain_ownership(&mut self, asked_at_ms: u64) {
        info!("shard: {} is owned here now", self.context.shard);
        let clock = Arc::clone(&self.context.clock);
        let ends_at_ms = self.right_ends_at_ms(asked_at_ms);
        let right = RenewalRight::new(clock, self.state.epoch(), ends_at_ms);
        self.right = Some(Arc::new(right));
        self.owned_since_ms = self.now_ms();
        self.workers_changed = true;
        self.rebuild_followers();
        self.snapshot_at_ms = self.now_ms();
    }

    /// Has placement and interference control read the whole shard anew.
    pub(super) fn rebuild_followers(&mut self) {
        self.placer.rebuild(&self.state);
        self.interference = InterferenceWatch::new((self.context.new_controller)());
        let now_ms = self.now_ms();
        for attempt in self.state.open_attempts().keys() {
            self.interference.start(&self.state, attempt, now_ms);
        }
    }

    /// Drops what an owner holds. Records that were not read back by now never take effect:
    /// their epoch is over.
    fn lose_ownership(&mut self) {
        warn!("shard: {} is no longer owned here", self.context.shard);
        self.drop_workers();
        self.right = None;
        self.ends.clear();
        self.asked.clear();
        self.inventories.clear();
        self.silent_since_unix_ms.clear();
        self.cool_off_until_ms.clear();
        self.proposed_ends.clear();
        self.evicting.clear();
        self.placement_waits.clear();
        self.appender.abandon();
        self.waiters.answer_all(&Err(SubmitError::NotOwner));
    }

    fn drop_workers(&mut self) {
        self.workers.clear();
        self.contacts.clear();
        self.seen_hosts = None;
    }

    /// Claims a shard whose owner is gone, if this host comes first among the live ones.
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
        let preferred = hosts.max_by_key(|host| self.rank(host));
        if owner_lives || preferred != Some(&self.context.host) {
            return;
        }
        self.claim_not_before_ms = now_ms + CLAIM_PAUSE.as_millis() as u64;
        self.appender
            .set_batch(self.state.epoch().next(), vec![ShardEvent::Claim]);
    }

    fn rank(&self, host: &HostId) -> u64 {
        rapidhash_v3(format!("{}@{host}", self.context.shard).as_bytes())
    }

    /// Begins to give the shard up on a planned stop; running attempts keep their leases.
    ///
    /// What has not been appended is refused; a batch in flight is read back first.
    pub(super) fn begin_release(&mut self) {
        self.is_releasing = true;
        self.drop_workers();
        let asked = std::mem::take(&mut self.asked);
        for event in asked {
            self.answer_event(&event, &Err(SubmitError::NotOwner));
        }
        self.ends.clear();
    }

    /// Proposes the release once nothing else is in flight; returns whether it is done.
    pub(super) fn release_step(&mut self) -> bool {
        if !self.is_owner() {
            return true;
        }
        if !self.appender.is_busy() {
            self.appender
                .set_batch(self.state.epoch(), vec![ShardEvent::Release]);
        }
        self.append_if_due();
        false
    }
}

/// Returns whether a peer has heard from the log lately, or has not said.
fn reaches_log(peer: &Member) -> bool {
    let age_ms = peer.heartbeat.log_contact_age_ms;
    age_ms.is_none_or(|age_ms| age_ms < LOG_SILENCE_MAX_MS)
}
