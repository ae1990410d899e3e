use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dotterelhook_borders::clock::Clock;
use dotterelhook_kernel::Metrics;
use dotterelhook_types::ids::TargetId;
use rapidhash::v3::rapidhash_v3;
use tokio_util::sync::CancellationToken;

use super::Digest;
use super::DrainingTarget;
use super::Heartbeat;
use super::Member;
use super::MemberId;
use super::MemberState;
use super::MemberTable;
use super::MembershipSettings;
use super::MembershipView;
use super::OutgoingFrame;
use super::PeerFrame;
use super::answers::answer_ask;
use super::answers::answer_describe;
use super::answers::answer_join;
use super::decode;
use super::draining_gossip::DrainingGossip;
use super::gossip_schedule::GossipSchedule;
use super::traffic_metrics::TrafficMetrics;
use crate::config::ConfigView;
use crate::refusals::Refusals;

/// The number of members that receive a forwarded digest or a query about silent members.
const FANOUT: usize = 3;
const QUERY_AFTER_MS: u64 = 2_500;
const QUERIED_MEMBERS_MAX: usize = 16;

/// The membership protocol of one daemon, without I/O.
///
/// The caller passes received frames in and sends the returned frames.
pub struct MembershipProtocol {
    pub(super) settings: MembershipSettings,
    clock: Arc<dyn Clock>,
    config: Arc<dyn ConfigView>,
    draining: CancellationToken,
    table: Mutex<MemberTable>,
    schedule: Mutex<GossipSchedule>,
    draining_gossip: DrainingGossip,
    refusals: Refusals,
    pub(super) traffic: TrafficMetrics,
}

impl MembershipProtocol {
    /// Creates the protocol of a daemon that knows no members yet.
    pub fn new(
        settings: MembershipSettings,
        clock: Arc<dyn Clock>,
        config: Arc<dyn ConfigView>,
        draining: CancellationToken,
    ) -> Self {
        let table = MemberTable::new(settings.member.clone(), settings.failure_domain.clone());
        Self {
            schedule: Mutex::new(GossipSchedule::new(&settings)),
            settings,
            clock,
            config,
            draining,
            table: Mutex::new(table),
            draining_gossip: DrainingGossip::default(),
            refusals: Refusals::new("membership"),
            traffic: TrafficMetrics::default(),
        }
    }

    /// Registers the counters of refused frames and of traffic.
    pub fn register(&self, metrics: &Metrics) {
        let help = "Frames of peers that were refused";
        self.refusals
            .register(metrics, "membership_frames_refused", help);
        self.traffic.register(metrics);
    }

    /// Advances by one heartbeat and returns the frames to send; call once per interval.
    pub fn tick(&self) -> Vec<OutgoingFrame> {
        let clock_ms = self.clock.monotonic_ms();
        let mut schedule = self.schedule();
        let heartbeat = self.own_heartbeat(schedule.next_sequence());
        let members = {
            let mut table = self.table();
            table.record_own_heartbeat(heartbeat.clone(), clock_ms);
            table.evict_expired(clock_ms);
            table.members(clock_ms)
        };
        let mut outgoing = OutgoingFrame::encode(
            &PeerFrame::Heartbeat(heartbeat.clone()),
            schedule.heartbeat_receivers(&members),
        );
        let join = PeerFrame::Join(heartbeat);
        outgoing.extend(OutgoingFrame::encode(
            &join,
            schedule.join_receivers(&members),
        ));
        outgoing.extend(self.queries_about_silent(&members));
        let receivers = schedule.start_digest_round(&members, clock_ms);
        if !receivers.is_empty() {
            let recent = self
                .table()
                .recently_discovered(schedule.description_period_ms(), clock_ms);
            let digests = schedule.own_domain_digests(&members, &recent);
            for digest in digests {
                outgoing.extend(OutgoingFrame::encode(
                    &PeerFrame::Digest(digest),
                    receivers.clone(),
                ));
            }
        }
        outgoing
    }

    /// Handles a received frame and returns the frames to send in response.
    ///
    /// A frame that can't be decoded is counted and changes nothing.
    pub fn handle_frame(&self, from: SocketAddr, frame: &[u8]) -> Vec<OutgoingFrame> {
        self.traffic.count_received(frame.len());
        match decode::<PeerFrame>(frame) {
            Ok(PeerFrame::Heartbeat(heartbeat)) => {
                self.handle_heartbeat(from, heartbeat);
                Vec::new()
            }
            Ok(PeerFrame::Join(heartbeat)) => {
                self.handle_heartbeat(from, heartbeat);
                answers(from, answer_join(self.members()))
            }
            Ok(PeerFrame::Ask(ids)) => {
                let domain = &self.settings.failure_domain;
                answers(from, answer_ask(&self.members(), domain, &ids))
            }
            Ok(PeerFrame::Answer(digest)) => {
                self.table()
                    .merge_digest(&digest, self.clock.monotonic_ms());
                Vec::new()
            }
            Ok(PeerFrame::Describe(keys)) => answers(from, answer_describe(self.members(), &keys)),
            Ok(PeerFrame::Digest(digest)) => self.handle_digest(from, &digest, frame),
            Err(error) => {
                let cause = format!("frame from {from} refused: {error}");
                self.refusals.record(error.reason(), cause);
                Vec::new()
            }
        }
    }

    fn handle_heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let is_name_conflict = heartbeat.member == self.settings.member
            && heartbeat.incarnation != self.settings.incarnation;
        if is_name_conflict {
            let cause =
                format!("heartbeat from {from} refused: another process uses this daemon's id");
            self.refusals.record("own-name", cause);
            return;
        }
        let now_ms = self.clock.monotonic_ms();
        if heartbeat.failure_domain == self.settings.failure_domain {
            self.draining_gossip
                .merge(&heartbeat.draining_targets, now_ms);
        }
        self.table().record_heartbeat(heartbeat, now_ms);
    }

    /// Returns queries to some members about silent members of the own domain.
    ///
    /// The answers bridge a one-way loss between two members.
    fn queries_about_silent(&self, members: &[Member]) -> Vec<OutgoingFrame> {
        let silent: Vec<MemberId> = members
            .iter()
            .filter(|member| self.is_in_own_domain(member))
            .filter(|member| member.state != MemberState::Dead && member.age_ms >= QUERY_AFTER_MS)
            .map(|member| member.heartbeat.member.clone())
            .take(QUERIED_MEMBERS_MAX)
            .collect();
        if silent.is_empty() {
            return Vec::new();
        }
        let salt = format!("ask-{}", self.clock.monotonic_ms());
        let receivers = self.sample_live_members(members, salt.as_bytes());
        OutgoingFrame::encode(&PeerFrame::Ask(silent), receivers)
    }

    /// Merges another domain's digest and forwards it inside the own domain if it has news.
    fn handle_digest(&self, from: SocketAddr, digest: &Digest, frame: &[u8]) -> Vec<OutgoingFrame> {
        let unknown = self.table().unknown_keys(digest);
        let is_newer = self.table().merge_digest(digest, self.clock.monotonic_ms());
        let mut outgoing = Vec::new();
        if !unknown.is_empty() {
            outgoing.extend(OutgoingFrame::encode(
                &PeerFrame::Describe(unknown),
                vec![from],
            ));
        }
        if is_newer && digest.failure_domain != self.settings.failure_domain {
            let receivers = self.sample_live_members(&self.members(), frame);
            outgoing.extend(OutgoingFrame::from_encoded(frame, receivers));
        }
        outgoing
    }

    /// Returns up to `FANOUT` other members of the own domain that are alive or draining.
    ///
    /// The salt determines which members are chosen.
    fn sample_live_members(&self, members: &[Member], salt: &[u8]) -> Vec<SocketAddr> {
        let salt = rapidhash_v3(salt);
        let own_id = &self.settings.member;
        let mut ranked: Vec<(u64, SocketAddr)> = members
            .iter()
            .filter(|member| self.is_in_own_domain(member) && member.heartbeat.member != *own_id)
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Draining))
            .map(|member| {
                let name = format!("{salt} {own_id} {}", member.heartbeat.member);
                (rapidhash_v3(name.as_bytes()), member.heartbeat.peer_address)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(FANOUT);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    fn is_in_own_domain(&self, member: &Member) -> bool {
        member.heartbeat.failure_domain == self.settings.failure_domain
    }

    fn own_heartbeat(&self, sequence: u64) -> Heartbeat {
        Heartbeat {
            member: self.settings.member.clone(),
            incarnation: self.settings.incarnation,
            sequence,
            failure_domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peer_address,
            admin_address: self.settings.admin_address,
            api_address: self.settings.api_address,
            config_offset: self.config.current().next_offset(),
            log_contact_age_ms: self.config.log_contact_age_ms(),
            is_draining: self.draining.is_cancelled(),
            draining_targets: self
                .draining_gossip
                .next_announcements(self.clock.monotonic_ms()),
        }
    }

    fn table(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn schedule(&self) -> MutexGuard<'_, GossipSchedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answers(to: SocketAddr, digests: Vec<Digest>) -> Vec<OutgoingFrame> {
    let frames = digests.into_iter().map(PeerFrame::Answer);
    frames
        .flat_map(|frame| OutgoingFrame::encode(&frame, vec![to]))
        .collect()
}

impl MembershipView for MembershipProtocol {
    fn own_id(&self) -> MemberId {
        self.settings.member.clone()
    }

    fn members(&self) -> Vec<Member> {
        self.table().members(self.clock.monotonic_ms())
    }

    fn report_draining(&self, target: &TargetId) {
        self.draining_gossip
            .report(target, self.clock.monotonic_ms());
    }

    fn draining_targets(&self) -> Vec<DrainingTarget> {
        self.draining_gossip.recent(self.clock.monotonic_ms())
    }
}
