use dotterelhook_state::config::BatchJob;
use dotterelhook_state::config::ConfigDocument;
use dotterelhook_state::config::Quota;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::sizes::Resources;

use super::CheckedConfig;
use super::Finding;
use super::FindingKind;
use super::PlatformFacts;

/// Returns the limits that can't hold together.
pub(super) fn find_contradictions(
    config: &CheckedConfig,
    facts: Option<&PlatformFacts>,
) -> Vec<Finding> {
    let largest = facts.and_then(largest_capacity);
    let mut findings = Vec::new();
    for (path, document) in &config.documents {
        match document {
            ConfigDocument::Job(_, job) => {
                findings.extend(check_deadline(config, path, job, largest.as_ref()));
            }
            ConfigDocument::Quota(quota) => {
                if let Some(largest) = &largest {
                    findings.extend(check_quota(path, quota, largest));
                }
            }
            ConfigDocument::Service(..) | ConfigDocument::Evacuation(..) => {}
        }
    }
    findings
}

/// Returns the largest capacity in each resource that a failure domain has.
fn largest_capacity(facts: &PlatformFacts) -> Option<Resources> {
    let capacities = facts.capacities.as_ref()?.values();
    capacities.copied().reduce(|a, b| Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    })
}

/// Checks that a run can end by its deadline if as many tasks run at once as the quota, or else the
/// largest failure domain, has room for.
fn check_deadline(
    config: &CheckedConfig,
    path: &ConfigPath,
    job: &BatchJob,
    largest: Option<&Resources>,
) -> Option<Finding> {
    let quota_path: ConfigPath = format!("{}/quota", path.team()).parse().ok()?;
    let quota = match config.documents.get(&quota_path) {
        Some(ConfigDocument::Quota(quota)) => Some(quota.batch),
        _ => None,
    };
    let limits = [
        (quota.as_ref(), "the team's quota", Some(&quota_path)),
        (largest, "the largest failure domain", None),
    ];
    limits.into_iter().find_map(|(room, name, other)| {
        let parallel = tasks_in(room?, &job.size)?;
        let waves = u64::from(job.tasks).div_ceil(parallel);
        let needed_ms = waves.saturating_mul(job.run_time_ms);
        if needed_ms <= job.deadline_ms {
            return None;
        }
        let rule = format!(
            "{name} has room for {parallel} of {} tasks at once, so a run takes {needed_ms} ms",
            job.tasks
        );
        let finding = Finding::new(FindingKind::Contradiction, path, "deadline_ms", rule);
        Some(match other {
            Some(other) => finding.with_other(other),
            None => finding,
        })
    })
}

/// Returns how many tasks fit; `None` if not even one does, which other checks report.
fn tasks_in(room: &Resources, size: &Resources) -> Option<u64> {
    let ratios = [
        (room.cpu_milli.0, size.cpu_milli.0),
        (room.memory_mb.0, size.memory_mb.0),
        (room.accelerators.0, size.accelerators.0),
    ];
    let needed = ratios.into_iter().filter(|(_, size)| *size > 0);
    let tasks = needed.map(|(room, size)| room / size).min()?;
    (tasks > 0).then_some(tasks)
}

/// Checks that the workers of a failure domain could hold as much as the quota permits.
fn check_quota(path: &ConfigPath, quota: &Quota, largest: &Resources) -> Vec<Finding> {
    let limits = [
        ("cpu_milli", quota.batch.cpu_milli.0, largest.cpu_milli.0),
        ("memory_mb", quota.batch.memory_mb.0, largest.memory_mb.0),
        (
            "accelerators",
            quota.batch.accelerators.0,
            largest.accelerators.0,
        ),
    ];
    let exceeded = limits.into_iter().filter(|(_, quota, room)| quota > room);
    exceeded
        .map(|(name, _, room)| {
            let rule = format!("above the capacity of every failure domain, at most {room}");
            let field = format!("batch.{name}");
            Finding::new(FindingKind::Contradiction, path, &field, rule)
        })
        .collect()
}
