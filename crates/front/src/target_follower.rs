use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_types::ids::TargetId;
use rapidhash::v3::rapidhash_v3;
use tokio::time::Instant;

use crate::metrics::FrontMetrics;
use crate::target::FrontCount;
use crate::target::FrontView;
use crate::target::HealthState;
use crate::target::TargetSet;

const TARGETS_REFRESH: Duration = Duration::from_millis(200);

/// Keeps the targets up to date with the host list and the other fronts.
pub(crate) struct TargetFollower {
    pub(crate) hosts: Arc<dyn HostView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) targets: Arc<TargetSet>,
    pub(crate) metrics: Arc<FrontMetrics>,
    pub(crate) fronts: FrontCount,
}

impl TargetFollower {
    /// Refreshes the targets for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.refresh();
            tokio::time::sleep(TARGETS_REFRESH).await;
        }
    }

    fn refresh(&mut self) {
        for target in self.targets.draining() {
            self.membership.report_draining(&target);
        }
        let view = self.fronts.update(self.front_view(), Instant::now());
        let hosts = self.hosts.current();
        self.targets.update(&hosts, &self.draining(), view);
        for (service, targets) in self.targets.services() {
            let pools = targets.pools();
            let is_ejected = |state| state != HealthState::Healthy;
            let ejected = pools.iter().filter(|pool| is_ejected(pool.state())).count();
            self.metrics
                .set_state(&service, targets.queue().waiting(), ejected);
        }
    }

    fn front_view(&self) -> FrontView {
        let own_id = self.membership.own_id();
        let peers = self.membership.live_peers(Role::Front);
        let mut names: Vec<MemberId> = peers
            .into_iter()
            .map(|peer| peer.heartbeat.member)
            .filter(|member| *member != own_id)
            .collect();
        let rank = names.iter().filter(|name| **name < own_id).count();
        names.push(own_id);
        names.sort();
        let text: Vec<String> = names.iter().map(ToString::to_string).collect();
        FrontView {
            fronts: names.len(),
            rank,
            names: rapidhash_v3(text.join(" ").as_bytes()),
            is_settled: false,
        }
    }

    /// Returns the targets that this or any other daemon saw draining.
    fn draining(&self) -> BTreeSet<TargetId> {
        let seen = self.membership.draining_targets().into_iter();
        seen.map(|draining| draining.target).collect()
    }
}
