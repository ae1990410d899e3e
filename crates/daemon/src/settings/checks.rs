use std::time::Duration;

use dotterelhook_front::FrontSettings;
use dotterelhook_front::target::BalancingPolicy;
use dotterelhook_kernel::memory::MachineMemory;
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

/// The shortest lease of a task, in worker time-outs.
const LEASE_MIN_WORKER_TIMEOUTS: u64 = 4;
/// The shortest bound of an evacuation: an idle log answers a read after 5 s, so the configuration is up
/// to 10 s old in normal operation, and half of the bound must be well above that.
const EVACUATE_MIN_MS: u64 = 30_000;

/// The smallest memory of a host, in megabytes.
const MEMORY_MB_MIN: u64 = 64;
/// The largest memory of a host, in megabytes.
const MEMORY_MB_MAX: u64 = 1 << 24;

/// Checks the memory of the host; `None` stands for the size that the platform reports.
pub(crate) fn checked_memory(memory_mb: Option<u64>) -> Result<Option<MachineMemory>, FieldError> {
    let checked = memory_mb
        .map(|megabytes| checked_number("memory_mb", megabytes, MEMORY_MB_MIN, MEMORY_MB_MAX));
    Ok(checked.transpose()?.map(MachineMemory::from_megabytes))
}

/// Checks that no two listeners of the daemon share an address.
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

/// Checks the section `platform`: addresses, call time-out and poll interval.
pub(super) fn check_platform(raw: &RawPlatform) -> Result<PlatformSettings, FieldError> {
    let call_timeout_ms = raw.call_timeout_ms;
    Ok(PlatformSettings {
        log_address: raw.log_address,
        host_list_address: raw.host_list_address,
        call_timeout: checked_millis("platform.call_timeout_ms", call_timeout_ms, 10, 60_000)?,
        host_poll: checked_millis("platform.host_poll_ms", raw.host_poll_ms, 100, 60_000)?,
    })
}

/// Checks the section `peers` and derives what the daemon announces in its heartbeats.
///
/// The role follows from the sections that are given: `front`, `scheduler` or both.
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
        heartbeat_interval: checked_millis(
            "peers.heartbeat_interval_ms",
            heartbeat_ms,
            100,
            2_000,
        )?,
        relay_count: checked_number("peers.relays", peers.relays, 2, 8)? as usize,
        digest_interval: checked_millis("peers.digest_interval_ms", digest_ms, 1_000, 4_000)?,
    })
}

/// Checks the section `front`.
pub(super) fn check_front(
    raw: &RawSettings,
    front: &RawFront,
) -> Result<FrontSettings, FieldError> {
    let connections_max =
        checked_number("front.connections_max", front.connections_max, 1, 100_000)?;
    let body_max_bytes = checked_number("front.body_max_bytes", front.body_max_bytes, 1, 64 << 20)?;
    let forward_bytes_per_second = checked_number(
        "front.forward_bytes_per_second",
        front.forward_bytes_per_second,
        0,
        1 << 30,
    )?;
    let bodies_max_bytes = checked_number(
        "front.bodies_max_bytes",
        front.bodies_max_bytes,
        front.body_max_bytes,
        1 << 30,
    )?;
    Ok(FrontSettings {
        listen_address: front.listen_address,
        connections_max: connections_max as usize,
        body_max_bytes: body_max_bytes as usize,
        body_timeout: checked_millis("front.body_timeout_ms", front.body_timeout_ms, 10, 600_000)?,
        bodies_max_bytes: bodies_max_bytes as usize,
        requests_max: checked_number("front.requests_max", front.requests_max, 1, 100_000)?
            as usize,
        fronts_max: checked_number("front.fronts_max", front.fronts_max, 1, 64)? as usize,
        forward_bytes_per_second: forward_bytes_per_second as usize,
        policy: BalancingPolicy::default(),
        failure_domain: raw.failure_domain.clone(),
    })
}

/// Checks the section `scheduler`.
pub(super) fn check_scheduler(
    raw: &RawSettings,
    scheduler: &RawScheduler,
    incarnation: Incarnation,
) -> Result<SchedulerSettings, FieldError> {
    let connections_max = checked_number(
        "scheduler.connections_max",
        scheduler.connections_max,
        1,
        100_000,
    )?;
    let worker_timeout = checked_millis(
        "scheduler.worker_timeout_ms",
        scheduler.worker_timeout_ms,
        10,
        60_000,
    )?;
    let lease = checked_millis("scheduler.lease_ms", scheduler.lease_ms, 100, 600_000)?;
    if scheduler.lease_ms < scheduler.worker_timeout_ms * LEASE_MIN_WORKER_TIMEOUTS {
        let rule = format!("must be at least {LEASE_MIN_WORKER_TIMEOUTS} times worker_timeout_ms");
        return Err(FieldError::new("scheduler.lease_ms", rule));
    }
    let commit_interval = checked_millis(
        "scheduler.commit_interval_ms",
        scheduler.commit_interval_ms,
        10,
        2_000,
    )?;
    Ok(SchedulerSettings {
        listen_address: scheduler.listen_address,
        connections_max: connections_max as usize,
        host: raw.host.clone(),
        incarnation,
        failure_domain: raw.failure_domain.clone(),
        shard_count: checked_number("scheduler.shard_count", scheduler.shard_count, 1, 64)? as u32,
        lease,
        commit_interval,
        worker_timeout,
        evacuation_bound: check_evacuation_bound(scheduler)?,
    })
}

/// Checks the bound of an evacuation. Half of it is the greatest age of the configuration at a start,
/// and the other half must cover a start that is on its way, which the worker refuses after the lease.
fn check_evacuation_bound(scheduler: &RawScheduler) -> Result<Option<Duration>, FieldError> {
    let field = "scheduler.evacuate_ms";
    let Some(evacuate_ms) = scheduler.evacuate_ms else {
        return Ok(None);
    };
    if evacuate_ms < 2 * scheduler.lease_ms {
        let rule = "must be at least twice lease_ms";
        return Err(FieldError::new(field, rule));
    }
    checked_millis(field, evacuate_ms, EVACUATE_MIN_MS, 600_000).map(Some)
}

/// Checks that a value lies between `min` and `max`, both included.
pub(crate) fn checked_number(
    field: &str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<u64, FieldError> {
    FieldError::check_range(field, value, min, max)?;
    Ok(value)
}

/// Checks that a time in milliseconds lies between `min` and `max`, both included.
pub(crate) fn checked_millis(
    field: &str,
    value_ms: u64,
    min: u64,
    max: u64,
) -> Result<Duration, FieldError> {
    checked_number(field, value_ms, min, max).map(Duration::from_millis)
}
