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
use super::Outgoing;
use super::PeerFrame;
use super::answers::answer_all;
use super::answers::answer_keys;
use super::answers::answer_some;
use super::decode;
use super::draining_board::DrainingBoard;
use super::schedule::Schedule;
use super::traffic::Traffic;
use crate::config::ConfigView;
use crate::refusals::Refusals;

/// The members that pass a digest on or are asked about a silent one.
const FANOUT: usize = 3;
const ASK_AFTER_MS: u64 = 2_500;
const ASKED_MAX: usize = 16;

/// What one daemon knows of the others, and what it tells them.
pub struct MemberExchange {
    pub(super) settings: MembershipSettings,
    clock: Arc<dyn Clock>,
    config: Arc<dyn ConfigView>,
    draining: CancellationToken,
    table: Mutex<MemberTable>,
    schedule: Mutex<Schedule>,
    draining_board: DrainingBoard,
    refusals: Refusals,
    pub(super) traffic: Traffic,
}

impl MemberExchange {
    /// Creates the membership of a daemon that knows nobody yet.
    pub fn new(
        settings: MembershipSettings,
        clock: Arc<dyn Clock>,
        config: Arc<dyn ConfigView>,
        draining: CancellationToken,
    ) -> Self {
        let table = MemberTable::new(settings.member.clone(), settings.failure_domain.clone());
        Self {
            schedule: Mutex::new(Schedule::new(&settings)),
            settings,
            clock,
            config,
            draining,
            table: Mutex::new(table),
            draining_board: DrainingBoard::default(),
            refusals: Refusals::new("membership"),
            traffic: Traffic::default(),
        }
    }

    /// Registers the metrics.
    pub fn register(&self, metrics: &Metrics) {
        let help = "Frames of peers that were refused";
        self.refusals
            .register(metrics, "membership_frames_refused", help);
        self.traffic.register(metrics);
    }

    /// Returns what is to be sent now; called once each heartbeat interval.
    pub fn beat(&self) -> Vec<Outgoing> {
        let clock_ms = self.clock.monotonic_ms();
        let mut schedule = self.schedule();
        let heartbeat = self.own_heartbeat(schedule.next_sequence());
        let members = {
            let mut table = self.table();
            table.hear_own(heartbeat.clone(), clock_ms);
            table.forget_old(clock_ms);
            table.members(clock_ms)
        };
        let mut outgoing = Outgoing::encode(
            &PeerFrame::Heartbeat(heartbeat.clone()),
            schedule.heartbeat_receivers(&members),
        );
        let join = PeerFrame::Join(heartbeat);
        outgoing.extend(Outgoing::encode(&join, schedule.join_receivers(&members)));
        outgoing.extend(self.questions(&members));
        let receivers = schedule.digest_receivers(&members, clock_ms);
        if !receivers.is_empty() {
            let recent = self.table().known_since(schedule.describe_ms(), clock_ms);
            let digests = schedule.own_digests(&members, &recent);
            for digest in digests {
                outgoing.extend(Outgoing::encode(
                    &PeerFrame::Digest(digest),
                    receivers.clone(),
                ));
            }
        }
        outgoing
    }

    /// Takes in a frame and returns what is to be sent because of it; a frame that can't
    /// be understood is counted and changes nothing.
    pub fn take(&self, from: SocketAddr, frame: &[u8]) -> Vec<Outgoing> {
        self.traffic.received(frame.len());
        match decode::<PeerFrame>(frame) {
            Ok(PeerFrame::Heartbeat(heartbeat)) => {
                self.hear(from, heartbeat);
                Vec::new()
            }
            Ok(PeerFrame::Join(heartbeat)) => {
                self.hear(from, heartbeat);
                answers(from, answer_all(self.members()))
            }
            Ok(PeerFrame::Ask(ids)) => {
                let domain = &self.settings.failure_domain;
                answers(from, answer_some(&self.members(), domain, &ids))
            }
            Ok(PeerFrame::Answer(digest)) => {
                self.table().merge(&digest, self.clock.monotonic_ms());
                Vec::new()
            }
            Ok(PeerFrame::Describe(keys)) => answers(from, answer_keys(self.members(), &keys)),
            Ok(PeerFrame::Digest(digest)) => self.pass_on(from, &digest, frame),
            Err(error) => {
                let cause = format!("frame from {from} refused: {error}");
                self.refusals.record(error.reason(), cause);
                Vec::new()
            }
        }
    }

    fn hear(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let is_namesake = heartbeat.member == self.settings.member
            && heartbeat.incarnation != self.settings.incarnation;
        if is_namesake {
            let cause = format!("another process at {from} uses this daemon's name");
            self.refusals.record("own-name", cause);
            return;
        }
        let now_ms = self.clock.monotonic_ms();
        if heartbeat.failure_domain == self.settings.failure_domain {
            self.draining_board
                .hear(&heartbeat.draining_targets, now_ms);
        }
        self.table().hear(heartbeat, now_ms);
    }

    /// Asks some members about those that were not heard lately.
    fn questions(&self, members: &[Member]) -> Vec<Outgoing> {
        let silent: Vec<MemberId> = members
            .iter()
            .filter(|member| self.is_in_own_domain(member))
            .filter(|member| member.state != MemberState::Dead && member.age_ms >= ASK_AFTER_MS)
            .map(|member| member.heartbeat.member.clone())
            .take(ASKED_MAX)
            .collect();
        if silent.is_empty() {
            return Vec::new();
        }
        let salt = format!("ask-{}", self.clock.monotonic_ms());
        let receivers = self.some_live_members(members, salt.as_bytes());
        Outgoing::encode(&PeerFrame::Ask(silent), receivers)
    }

    /// Takes in another domain's digest and passes news on inside the own domain.
    fn pass_on(&self, from: SocketAddr, digest: &Digest, frame: &[u8]) -> Vec<Outgoing> {
        let unknown = self.table().unknown_keys(digest);
        let is_news = self.table().merge(digest, self.clock.monotonic_ms());
        let mut outgoing = Vec::new();
        if !unknown.is_empty() {
            outgoing.extend(Outgoing::encode(&PeerFrame::Describe(unknown), vec![from]));
        }
        if is_news && digest.failure_domain != self.settings.failure_domain {
            let receivers = self.some_live_members(&self.members(), frame);
            outgoing.extend(Outgoing::encoded(frame, receivers));
        }
        outgoing
    }

    /// Returns some live members of the own domain; which ones follows from the salt.
    fn some_live_members(&self, members: &[Member], salt: &[u8]) -> Vec<SocketAddr> {
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
            draining_targets: self.draining_board.announce(self.clock.monotonic_ms()),
        }
    }

    fn table(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn schedule(&self) -> MutexGuard<'_, Schedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answers(to: SocketAddr, digests: Vec<Digest>) -> Vec<Outgoing> {
    let frames = digests.into_iter().map(PeerFrame::Answer);
    frames
        .flat_map(|frame| Outgoing::encode(&frame, vec![to]))
        .collect()
}

impl MembershipView for MemberExchange {
    fn own_id(&self) -> MemberId {
        self.settings.member.clone()
    }

    fn members(&self) -> Vec<Member> {
        self.table().members(self.clock.monotonic_ms())
    }

    fn report_draining(&self, target: &TargetId) {
        self.draining_board
            .report(target, self.clock.monotonic_ms());
    }

    fn draining_targets(&self) -> Vec<DrainingTarget> {
        self.draining_board.recent(self.clock.monotonic_ms())
    }
}
