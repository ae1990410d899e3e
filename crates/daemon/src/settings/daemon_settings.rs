use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_front::FrontSettings;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_peer::membership::MembershipSettings;
use dotterelhook_scheduler::SchedulerSettings;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::Incarnation;

use super::LogFormat;
use super::LogLevel;
use super::checks::check_distinct_addresses;
use super::checks::check_front;
use super::checks::check_membership;
use super::checks::check_platform;
use super::checks::check_scheduler;
use super::checks::checked_memory;
use super::checks::checked_millis;
use super::raw::RawSettings;

/// The addresses of the users' platform, and the time limits of its calls.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSettings {
    pub(crate) log_address: SocketAddr,
    pub(crate) host_list_address: SocketAddr,
    pub(crate) call_timeout: Duration,
    pub(crate) host_poll: Duration,
}

/// The checked settings of one daemon, with the defaults filled in.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    /// The memory of the machine; `None` for the size that the platform reports.
    pub(crate) memory: Option<MachineMemory>,
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
    /// Checks the decoded settings.
    ///
    /// # Errors
    /// Returns the first field that breaks a rule.
    pub(crate) fn try_from_raw(raw: RawSettings) -> Result<Self, FieldError> {
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for DaemonSettings {
    type Error = FieldError;

    fn try_from(raw: RawSettings) -> Result<Self, FieldError> {
        check_distinct_addresses(&raw)?;
        let incarnation = new_incarnation();
        let platform = check_platform(&raw.platform)?;
        let front = raw.front.as_ref();
        let front = front.map(|front| check_front(&raw, front)).transpose()?;
        let scheduler = raw.scheduler.as_ref();
        let scheduler = scheduler
            .map(|scheduler| check_scheduler(&raw, scheduler, incarnation))
            .transpose()?;
        let membership = check_membership(&raw, incarnation)?;
        Ok(Self {
            memory: checked_memory(raw.memory_mb)?,
            admin_address: raw.admin_address,
            platform,
            membership,
            front,
            scheduler,
            unready_for: checked_millis("stop.unready_ms", raw.stop.unready_ms, 0, 60_000)?,
            drain_max: checked_millis("stop.drain_max_ms", raw.stop.drain_max_ms, 0, 3_600_000)?,
            log_level: raw.log.level,
            log_format: raw.log.format.unwrap_or(LogFormat::Text),
        })
    }
}

/// Returns the present time in microseconds as the incarnation of this process.
///
/// A later process gets a larger number, so others can tell a restarted process from its
/// predecessor.
pub(crate) fn new_incarnation() -> Incarnation {
    use std::time::SystemTime;
    use std::time::UNIX_EPOCH;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
