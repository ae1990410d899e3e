use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_front::FrontSettings;
use dotterelhook_front::target::Policy;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MembershipSettings;
use dotterelhook_peer::membership::Role;
use dotterelhook_scheduler::SchedulerSettings;
use dotterelhook_types::document::FieldFault;
use dotterelhook_types::ids::Incarnation;

use super::LogFormat;
use super::LogLevel;
use super::raw::RawFront;
use super::raw::RawScheduler;
use super::raw::RawSettings;

const LEASE_MIN_TIMEOUTS: u64 = 4;

/// Where the platform is and how it is called.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSettings {
    pub(crate) log_address: SocketAddr,
    pub(crate) host_list_address: SocketAddr,
    pub(crate) call_timeout: Duration,
    pub(crate) host_poll: Duration,
}

/// The checked settings of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    pub(crate) admin_address: SocketAddr,
    pub(crate) platform: PlatformSettings,
    pub(crate) membership: MembershipSettings,
    pub(crate) front: Option<FrontSettings>,
    pub(crate) scheduler: Option<SchedulerSettings>,
    pub(crate) unready_for: Duration,
    pub(crate) drain_max: Duration,
    pub(crate) log_level: LogLevel,
    pub(crate) log_format: LogFormat,
}

impl DaemonSettings {
    /// Checks settings as written.
    ///
    /// # Errors
    /// Returns the first field that breaks a rule.
    pub(crate) fn try_from_raw(raw: RawSettings) -> Result<Self, FieldFault> {
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for DaemonSettings {
    type Error = FieldFault;

    fn try_from(raw: RawSettings) -> Result<Self, FieldFault> {
        check_distinct_addresses(&raw)?;
        let incarnation = new_incarnation();
        let call_timeout = milliseconds(
            "platform.call_timeout_ms",
            raw.platform.call_timeout_ms,
            10,
            60_000,
        )?;
        let platform = PlatformSettings {
            log_address: raw.platform.log_address,
            host_list_address: raw.platform.host_list_address,
            call_timeout,
            host_poll: milliseconds(
                "platform.host_poll_ms",
                raw.platform.host_poll_ms,
                100,
                60_000,
            )?,
        };
        let front = raw
            .front
            .as_ref()
            .map(|front| check_front(&raw, front))
            .transpose()?;
        let scheduler = raw.scheduler.as_ref();
        let scheduler = scheduler
            .map(|part| check_scheduler(&raw, part, incarnation))
            .transpose()?;
        let (role, api_address) = match (&front, &scheduler) {
            (Some(front), None) => (Role::Front, front.listen_address),
            (Some(_), Some(scheduler)) => (Role::Combined, scheduler.listen_address),
            (None, Some(scheduler)) => (Role::Scheduler, scheduler.listen_address),
            (None, None) => {
                return Err(FieldFault::new(
                    "",
                    "front, scheduler or both must be given",
                ));
            }
        };
        let heartbeat_interval = milliseconds(
            "peers.heartbeat_interval_ms",
            raw.peers.heartbeat_interval_ms,
            100,
            2_000,
        )?;
        let membership = MembershipSettings {
            member: MemberId {
                host: raw.host.clone(),
                role,
            },
            incarnation,
            failure_domain: raw.failure_domain.clone(),
            peer_address: raw.peers.listen_address,
            admin_address: raw.admin_address,
            api_address,
            seed_addresses: raw.peers.seed_addresses.clone(),
            heartbeat_interval,
            relay_count: number("peers.relays", raw.peers.relays, 2, 8)? as usize,
            digest_interval: milliseconds(
                "peers.digest_interval_ms",
                raw.peers.digest_interval_ms,
                1_000,
                4_000,
            )?,
        };
        Ok(Self {
            admin_address: raw.admin_address,
            platform,
            membership,
            front,
            scheduler,
            unready_for: milliseconds("stop.unready_ms", raw.stop.unready_ms, 0, 60_000)?,
            drain_max: milliseconds("stop.drain_max_ms", raw.stop.drain_max_ms, 0, 3_600_000)?,
            log_level: raw.log.level,
            log_format: raw.log.format,
        })
    }
}

/// Checks that each listener of the daemon has an address of its own.
fn check_distinct_addresses(raw: &RawSettings) -> Result<(), FieldFault> {
    let front = raw.front.as_ref().map(|front| front.listen_address);
    let scheduler = raw
        .scheduler
        .as_ref()
        .map(|scheduler| scheduler.listen_address);
    let listeners = [
        ("admin_address", Some(raw.admin_address)),
        ("peers.listen_address", Some(raw.peers.listen_address)),
        ("front.listen_address", front),
        ("scheduler.listen_address", scheduler),
    ];
    for (index, (field, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| other == address);
        if let (Some(_), Some((other, _))) = (address, earlier) {
            return Err(FieldFault::new(*field, format!("already used by {other}")));
        }
    }
    Ok(())
}

fn check_front(raw: &RawSettings, front: &RawFront) -> Result<FrontSettings, FieldFault> {
    let connections_max = number("front.connections_max", front.connections_max, 1, 100_000)?;
    let body_max_bytes = number("front.body_max_bytes", front.body_max_bytes, 1, 64 << 20)?;
    let forward_bytes_per_second = number(
        "front.forward_bytes_per_second",
        front.forward_bytes_per_second,
        0,
        1 << 30,
    )?;
    let bodies_max_bytes = number(
        "front.bodies_max_bytes",
        front.bodies_max_bytes,
        front.body_max_bytes,
        1 << 30,
    )?;
    Ok(FrontSettings {
        listen_address: front.listen_address,
        connections_max: connections_max as usize,
        body_max_bytes: body_max_bytes as usize,
        body_timeout: milliseconds("front.body_timeout_ms", front.body_timeout_ms, 10, 600_000)?,
        bodies_max_bytes: bodies_max_bytes as usize,
        requests_max: number("front.requests_max", front.requests_max, 1, 100_000)? as usize,
        fronts_max: number("front.fronts_max", front.fronts_max, 1, 64)? as usize,
        forward_bytes_per_second: forward_bytes_per_second as usize,
        policy: Policy::default(),
        failure_domain: raw.failure_domain.clone(),
    })
}

fn check_scheduler(
    raw: &RawSettings,
    part: &RawScheduler,
    incarnation: Incarnation,
) -> Result<SchedulerSettings, FieldFault> {
    let connections_max = number(
        "scheduler.connections_max",
        part.connections_max,
        1,
        100_000,
    )?;
    let worker_timeout = milliseconds(
        "scheduler.worker_timeout_ms",
        part.worker_timeout_ms,
        10,
        60_000,
    )?;
    let lease = milliseconds("scheduler.lease_ms", part.lease_ms, 100, 600_000)?;
    if part.lease_ms < part.worker_timeout_ms * LEASE_MIN_TIMEOUTS {
        let rule = format!("must be at least {LEASE_MIN_TIMEOUTS} times worker_timeout_ms");
        return Err(FieldFault::new("scheduler.lease_ms", rule));
    }
    let commit_interval = milliseconds(
        "scheduler.commit_interval_ms",
        part.commit_interval_ms,
        10,
        2_000,
    )?;
    Ok(SchedulerSettings {
        listen_address: part.listen_address,
        connections_max: connections_max as usize,
        host: raw.host.clone(),
        incarnation,
        failure_domain: raw.failure_domain.clone(),
        shard_count: number("scheduler.shard_count", part.shard_count, 1, 64)? as u32,
        lease,
        commit_interval,
        worker_timeout,
    })
}

fn number(field: &str, value: u64, min: u64, max: u64) -> Result<u64, FieldFault> {
    FieldFault::check_range(field, value, min, max)?;
    Ok(value)
}

fn milliseconds(field: &str, value_ms: u64, min: u64, max: u64) -> Result<Duration, FieldFault> {
    number(field, value_ms, min, max).map(Duration::from_millis)
}

/// Later processes get larger numbers, so that a restart is told from its predecessor.
fn new_incarnation() -> Incarnation {
    use std::time::SystemTime;
    use std::time::UNIX_EPOCH;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
