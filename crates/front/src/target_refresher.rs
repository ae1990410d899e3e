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
use crate::target::FrontGroup;
use crate::target::FrontGroupTracker;
use crate::target::HealthState;
use crate::target::TargetSet;

const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Refreshes the front's targets from the host list and the cluster membership.
pub(crate) struct TargetRefresher {
    pub(crate) hosts: Arc<dyn HostView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) targets: Arc<TargetSet>,
    pub(crate) metrics: Arc<FrontMetrics>,
    pub(crate) front_group: FrontGroupTracker,
}

impl TargetRefresher {
    /// Refreshes the targets at a fixed interval; never returns.
    pub(crate) async fn run(mut self) {
        loop {
            self.refresh();
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    fn refresh(&mut self) {
        for target in self.targets.draining_targets() {
            self.membership.report_draining(&target);
        }
        let group = self
            .front_group
            .observe(self.current_front_group(), Instant::now());
        let hosts = self.hosts.current();
        self.targets
            .update(&hosts, &self.reported_draining_targets(), group);
        for (service, targets) in self.targets.services() {
            let pools = targets.pools();
            let is_ejected = |state| state != HealthState::Healthy;
            let ejected = pools.iter().filter(|pool| is_ejected(pool.state())).count();
            self.metrics
                .set_gauges(&service, targets.queue().waiting(), ejected);
        }
    }

    fn current_front_group(&self) -> FrontGroup {
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
        FrontGroup {
            size: names.len(),
            rank,
            names_hash: rapidhash_v3(text.join(" ").as_bytes()),
            is_settled: false,
        }
    }

    /// Returns the targets that any daemon reports as draining.
    fn reported_draining_targets(&self) -> BTreeSet<TargetId> {
        let reported = self.membership.draining_targets().into_iter();
        reported.map(|draining| draining.target).collect()
    }
}
