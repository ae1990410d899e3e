use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::Heartbeat;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::Evacuation;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TargetId;
use dotterelhook_types::sizes::Resources;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::agents::worker_address;

/// The live schedulers, the host list and the configuration, as all processes observe them.
pub(crate) struct Views {
    live: Mutex<BTreeMap<usize, Incarnation>>,
    hosts: Mutex<Arc<HostSnapshot>>,
    config: Mutex<Arc<ConfigState>>,
}

pub(crate) fn host_id(host: usize) -> HostId {
    format!("h{host}").parse().expect("a name")
}

impl Views {
    pub(crate) fn new(_hosts: usize, workers: usize) -> Self {
        let entry = |worker: usize| WorkerEntry {
            worker: format!("w{worker}").parse().expect("a name"),
            address: worker_address(worker),
            failure_domain: "laguna".parse().expect("a name"),
            rack: "r0".parse().expect("a name"),
            state: HostState::Live,
        };
        let list = HostSnapshot {
            targets: Vec::new(),
            workers: (0..workers).map(entry).collect(),
        };
        Self {
            live: Mutex::default(),
            hosts: Mutex::new(Arc::new(list)),
            config: Mutex::default(),
        }
    }

    pub(crate) fn set_live(&self, host: usize, incarnation: Option<Incarnation>) {
        let mut live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        match incarnation {
            Some(incarnation) => live.insert(host, incarnation),
            None => live.remove(&host),
        };
    }

    /// Sets the quota of the team `night`.
    pub(crate) fn set_quota(&self, batch: &Resources) {
        let path = "night/quota".parse().expect("a path");
        self.publish(&path, Some(json!({ "batch": batch })));
    }

    /// Requests the evacuation of the failure domain, or ends it.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool) {
        let path = Evacuation::path(&"laguna".parse().expect("a name"));
        if self.config().version(&path).is_some() != is_evacuated {
            let body = json!({ "requested_at_unix_ms": 1 });
            self.publish(&path, is_evacuated.then_some(body));
        }
    }

    fn config(&self) -> Arc<ConfigState> {
        Arc::clone(&self.config.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn publish(&self, path: &ConfigPath, body: Option<Value>) {
        let mut state = ConfigState::clone(&self.config());
        let offset = state.next_offset();
        let publication = json!({
            "writer": "test", "sequence": offset.0 + 1, "team": path.team(), "path": path,
            "base_offset": state.base_offset(path), "body": body
        });
        let applied = state.apply(offset, &publication.to_string());
        applied.expect("a valid publication");
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(state);
    }

    pub(crate) fn set_leaving(&self, worker: usize, is_leaving: bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = HostSnapshot::clone(&hosts);
        list.workers[worker].state = if is_leaving {
            HostState::Leaving
        } else {
            HostState::Live
        };
        *hosts = Arc::new(list);
    }

    /// Removes the last worker from the host list.
    pub(crate) fn remove_last_worker(&self) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = HostSnapshot::clone(&hosts);
        list.workers.pop();
        *hosts = Arc::new(list);
    }

    pub(crate) fn heal(&self) {
        let workers = HostView::current(self).workers.len();
        (0..workers).for_each(|worker| self.set_leaving(worker, false));
    }
}

impl HostView for Views {
    fn current(&self) -> Arc<HostSnapshot> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&hosts)
    }
}

/// The membership as observed by one process.
pub(crate) struct FakeMembership {
    pub(crate) views: Arc<Views>,
    pub(crate) host: usize,
}

impl MembershipView for FakeMembership {
    fn own_id(&self) -> MemberId {
        member_id(self.host)
    }

    fn members(&self) -> Vec<Member> {
        let live = self.views.live.lock();
        let live = live.unwrap_or_else(PoisonError::into_inner);
        live.iter()
            .map(|(host, incarnation)| member(*host, *incarnation))
            .collect()
    }

    fn report_draining(&self, _: &TargetId) {}
}

fn member_id(host: usize) -> MemberId {
    MemberId {
        host: host_id(host),
        role: Role::Scheduler,
    }
}

fn member(host: usize, incarnation: Incarnation) -> Member {
    let address = worker_address(0);
    Member {
        heartbeat: Heartbeat {
            member: member_id(host),
            incarnation,
            failure_domain: "laguna".parse().expect("a name"),
            peer_address: address,
            admin_address: address,
            api_address: address,
            config_offset: Offset(0),
            log_contact_age_ms: None,
            is_draining: false,
            sequence: 0,
            draining_targets: Vec::new(),
        },
        age_ms: 0,
        state: MemberState::Alive,
    }
}

/// The configuration as one process sees it: as it is, or as it was when the process was cut off.
pub(crate) struct ProcessConfig {
    views: Arc<Views>,
    is_cut: Arc<AtomicBool>,
    frozen: watch::Receiver<bool>,
    seen: Mutex<(Arc<ConfigState>, Instant)>,
}

impl ProcessConfig {
    pub(crate) fn new(
        views: Arc<Views>,
        is_cut: Arc<AtomicBool>,
        frozen: watch::Receiver<bool>,
    ) -> Self {
        let seen = Mutex::new((views.config(), Instant::now()));
        Self {
            views,
            is_cut,
            frozen,
            seen,
        }
    }

    fn seen(&self) -> (Arc<ConfigState>, Instant) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.is_cut.load(Ordering::SeqCst) && !*self.frozen.borrow() {
            *seen = (self.views.config(), Instant::now());
        }
        seen.clone()
    }
}

impl ConfigView for ProcessConfig {
    fn current(&self) -> Arc<ConfigState> {
        self.seen().0
    }

    fn is_loaded(&self) -> bool {
        true
    }

    fn log_contact_age_ms(&self) -> Option<u64> {
        None
    }

    fn complete_read_age_ms(&self) -> Option<u64> {
        Some(self.seen().1.elapsed().as_millis() as u64)
    }
}
