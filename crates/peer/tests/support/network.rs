use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::clock::ManualClock;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::membership::Member;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipProtocol;
use dotterelhook_peer::membership::MembershipSettings;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::OutgoingFrame;
use dotterelhook_peer::membership::Role;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::Incarnation;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

const STEP_MS: u64 = 1_000;
/// IPv4 and UDP headers.
const PACKET_HEADER_BYTES: u64 = 28;

struct NoConfig;

impl ConfigView for NoConfig {
    fn current(&self) -> Arc<ConfigState> {
        Arc::default()
    }

    fn is_loaded(&self) -> bool {
        true
    }

    fn log_contact_age_ms(&self) -> Option<u64> {
        Some(0)
    }

    fn complete_read_age_ms(&self) -> Option<u64> {
        Some(0)
    }
}

/// A one-way cut: all datagrams from one set of nodes to another are lost.
pub(crate) struct Cut {
    pub(crate) from: Vec<usize>,
    pub(crate) to: Vec<usize>,
}

pub(crate) struct Node {
    pub(crate) membership: MembershipProtocol,
    pub(crate) draining: CancellationToken,
    settings: MembershipSettings,
    clock: Arc<ManualClock>,
    is_running: bool,
    /// Datagrams in the socket buffer of a frozen node.
    socket_buffer: Vec<(SocketAddr, Arc<[u8]>)>,
}

/// Nodes and the simulated network between them; each step is `STEP_MS` long.
pub(crate) struct Network {
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) cuts: Vec<Cut>,
    pub(crate) sent_bytes: Vec<u64>,
    addresses: BTreeMap<SocketAddr, usize>,
    rng: SmallRng,
}

impl Network {
    /// Builds one failure domain per size with that many nodes; node 0 is the seed of all.
    pub(crate) fn new(domain_sizes: &[usize], seed: u64) -> Self {
        // Tests provoke many refused frames, whose log lines would bury the test's own output.
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let mut network = Self {
            nodes: Vec::new(),
            loss: 0.0,
            cuts: Vec::new(),
            sent_bytes: Vec::new(),
            addresses: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (domain, size) in domain_sizes.iter().enumerate() {
            for index in 0..*size {
                network.add(&format!("d{domain}"), &format!("d{domain}-h{index:02}"));
            }
        }
        network
    }

    fn add(&mut self, domain: &str, host: &str) {
        let index = self.nodes.len();
        let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
        let settings = MembershipSettings {
            member: MemberId {
                host: host.parse().expect("a name"),
                role: Role::Front,
            },
            incarnation: Incarnation(1_764_800_000_000_000 + index as u64),
            failure_domain: domain.parse().expect("a name"),
            peer_address: address(1_000 + index),
            admin_address: address(2_000 + index),
            api_address: address(3_000 + index),
            seed_addresses: vec![address(1_000)],
            heartbeat_interval: Duration::from_millis(STEP_MS),
            relay_count: 2,
            digest_interval: Duration::from_secs(4),
        };
        self.addresses.insert(settings.peer_address, index);
        self.nodes.push(Node::new(settings));
        self.sent_bytes.push(0);
    }

    /// Runs the network for `seconds` steps.
    pub(crate) fn run(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.step();
        }
    }

    /// Runs the network for `seconds` steps and calls `check` after each.
    pub(crate) fn run_checked(&mut self, seconds: usize, mut check: impl FnMut(&Self)) {
        for _ in 0..seconds {
            self.step();
            check(self);
        }
    }

    /// Freezes a process; its socket keeps buffering datagrams.
    pub(crate) fn freeze(&mut self, node: usize) {
        self.nodes[node].is_running = false;
    }

    /// Resumes a frozen process.
    pub(crate) fn thaw(&mut self, node: usize) {
        self.nodes[node].is_running = true;
    }

    /// Replaces a process by a new one with the same member id.
    pub(crate) fn restart(&mut self, node: usize, incarnation: Incarnation) {
        let mut settings = self.nodes[node].settings.clone();
        settings.incarnation = incarnation;
        self.nodes[node] = Node::new(settings);
    }

    /// Advances a node by one heartbeat and returns its frames without sending them.
    pub(crate) fn frames_of(&self, node: usize) -> Vec<OutgoingFrame> {
        self.nodes[node].membership.tick()
    }

    /// Delivers a frame to a node as if sent by node 0.
    pub(crate) fn deliver_frame(&mut self, node: usize, frame: &[u8]) {
        let from = self.nodes[0].settings.peer_address;
        self.nodes[node].membership.handle_frame(from, frame);
    }

    /// Returns the entry of node `of` at node `by`, if it has one.
    pub(crate) fn member(&self, of: usize, by: usize) -> Option<Member> {
        let id = &self.nodes[of].settings.member;
        let members = self.nodes[by].membership.members();
        members
            .into_iter()
            .find(|member| member.heartbeat.member == *id)
    }

    /// Returns the state of node `of` as estimated by node `by`.
    pub(crate) fn state(&self, of: usize, by: usize) -> Option<MemberState> {
        self.member(of, by).map(|member| member.state)
    }

    /// Returns the pairs (by, of) where `by` does not consider `of` alive.
    pub(crate) fn pairs_not_alive(&self) -> Vec<(usize, usize)> {
        self.pairs(|state| state != Some(MemberState::Alive))
    }

    /// Returns the pairs (by, of) where `by` considers `of` dead, unreachable or unknown.
    pub(crate) fn lost_pairs(&self) -> Vec<(usize, usize)> {
        self.pairs(|state| {
            matches!(
                state,
                None | Some(MemberState::Dead | MemberState::Unreachable)
            )
        })
    }

    fn pairs(&self, matches: impl Fn(Option<MemberState>) -> bool) -> Vec<(usize, usize)> {
        let count = self.nodes.len();
        let all = (0..count).flat_map(|by| (0..count).map(move |of| (by, of)));
        all.filter(|(by, of)| matches(self.state(*of, *by)))
            .collect()
    }

    fn step(&mut self) {
        let mut queue = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.clock.advance_ms(STEP_MS);
            if !node.is_running {
                continue;
            }
            for (from, frame) in std::mem::take(&mut node.socket_buffer) {
                node.membership.handle_frame(from, &frame);
            }
            let outgoing = node.membership.tick();
            queue.extend(outgoing.into_iter().map(|out| (index, out)));
        }
        while !queue.is_empty() {
            let mut next = Vec::new();
            for (from, out) in queue {
                self.sent_bytes[from] += out.frame.len() as u64 + PACKET_HEADER_BYTES;
                next.extend(self.deliver(from, out));
            }
            queue = next;
        }
    }

    fn deliver(&mut self, from: usize, out: OutgoingFrame) -> Vec<(usize, OutgoingFrame)> {
        let Some(&to) = self.addresses.get(&out.to) else {
            return Vec::new();
        };
        let is_cut = self
            .cuts
            .iter()
            .any(|cut| cut.from.contains(&from) && cut.to.contains(&to));
        if is_cut || self.rng.random_bool(self.loss) {
            return Vec::new();
        }
        let from_address = self.nodes[from].settings.peer_address;
        let node = &mut self.nodes[to];
        if !node.is_running {
            node.socket_buffer.push((from_address, out.frame));
            return Vec::new();
        }
        let answers = node.membership.handle_frame(from_address, &out.frame);
        answers.into_iter().map(|answer| (to, answer)).collect()
    }
}

impl Node {
    fn new(settings: MembershipSettings) -> Self {
        let clock = Arc::new(ManualClock::default());
        let draining = CancellationToken::new();
        Self {
            membership: MembershipProtocol::new(
                settings.clone(),
                clock.clone(),
                Arc::new(NoConfig),
                draining.clone(),
            ),
            draining,
            settings,
            clock,
            is_running: true,
            socket_buffer: Vec::new(),
        }
    }
}
