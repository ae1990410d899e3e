use std::time::Duration;

use dotterelhook_front::FrontSettings;
use dotterelhook_front::target::BalancingPolicy;
use dotterelhook_peer::membership::MemberId;
use dotterelhook_peer::membership::MembershipSettings;
use dotterelhook_peer::membership::Role;
use dotterelhook_scheduler::SchedulerSettings;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::Incarnation;

use super::daemon_settings::PlatformSettings;
use super::raw::RawFront;
use super::raw::RawPlatform;
use super::raw::RawScheduler;
use super::raw::RawSettings;

const LEASE_MIN_TIMEOUTS: u64 = 4;

/// Checks that each listener of the daemon has an address of its own.
pub(super) fn check_distinct_addresses(raw: &RawSettings) -> Result<(), FieldError> {
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
            return Err(FieldError::new(*field, format!("already used by {other}")));
        }
    }
    Ok(())
}

/// Checks where the platform is and how it is called.
pub(super) fn check_platform(raw: &RawPlatform) -> Result<PlatformSettings, FieldError> {
    let call_timeout_ms = raw.call_timeout_ms;
    Ok(PlatformSettings {
        log_address: raw.log_address,
        host_list_address: raw.host_list_address,
        call_timeout: milliseconds("platform.call_timeout_ms", call_timeout_ms, 10, 60_000)?,
        host_poll: milliseconds("platform.host_poll_ms", raw.host_poll_ms, 100, 60_000)?,
    })
}

/// Checks what the daemon tells others of itself; its role follows from its parts.
pub(super) fn check_membership(
    raw: &RawSettings,
    incarnation: Incarnation,
) -> Result<MembershipSettings, FieldError> {
    let (role, api_address) = match (&raw.front, &raw.scheduler) {
        (Some(front), None) => (Role::Front, front.listen_address),
        (Some(_), Some(scheduler)) => (Role::Combined, scheduler.listen_address),
        (None, Some(scheduler)) => (Role::Scheduler, scheduler.listen_address),
        (None, None) => {
            let rule = "front, scheduler or both must be given";
            return Err(FieldError::new("", rule));
        }
    };
    let peers = &raw.peers;
    let heartbeat_ms = peers.heartbeat_interval_ms;
    let digest_ms = peers.digest_interval_ms;
    Ok(MembershipSettings {
        member: MemberId {
            host: raw.host.clone(),
            role,
        },
        incarnation,
        failure_domain: raw.failure_domain.clone(),
        peer_address: peers.listen_address,
        admin_address: raw.admin_address,
        api_address,
        seed_addresses: peers.seed_addresses.clone(),
        heartbeat_interval: milliseconds("peers.heartbeat_interval_ms", heartbeat_ms, 100, 2_000)?,
        relay_count: number("peers.relays", peers.relays, 2, 8)? as usize,
        digest_interval: milliseconds("peers.digest_interval_ms", digest_ms, 1_000, 4_000)?,
    })
}

/// Checks the front's part.
pub(super) fn check_front(
    raw: &RawSettings,
    front: &RawFront,
) -> Result<FrontSettings, FieldError> {
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
        policy: BalancingPolicy::default(),
        failure_domain: raw.failure_domain.clone(),
    })
}

/// Checks the scheduler's part.
pub(super) fn check_scheduler(
    raw: &RawSettings,
    part: &RawScheduler,
    incarnation: Incarnation,
) -> Result<SchedulerSettings, FieldError> {
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
        return Err(FieldError::new("scheduler.lease_ms", rule));
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

pub(crate) fn number(field: &str, value: u64, min: u64, max: u64) -> Result<u64, FieldError> {
    FieldError::check_range(field, value, min, max)?;
    Ok(value)
}

/// Checks a time given in milliseconds.
pub(crate) fn milliseconds(
    field: &str,
    value_ms: u64,
    min: u64,
    max: u64,
) -> Result<Duration, FieldError> {
    number(field, value_ms, min, max).map(Duration::from_millis)
}
