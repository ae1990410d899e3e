use std::time::Duration;

use crate::evacuation::EvacuationState;
use crate::evacuation::EvacuationStatus;
use crate::model::FailureDomainName;
use crate::observe::Decision;
use crate::observe::EvacuationLabels;
use crate::observe::JobMetrics;
use crate::observe::decided;

/// The interval between two log lines about an evacuation whose state doesn't change.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the progress of the evacuations in one cell and exports it as metrics.
#[derive(Debug, Default)]
pub(super) struct EvacuationReport {
    logged: Vec<(FailureDomainName, EvacuationState, Duration)>,
    exported: Vec<EvacuationLabels>,
}

impl EvacuationReport {
    /// Reports the statuses at a time since boot. `view_age` is the age of the operators' requests.
    pub(super) fn update(
        &mut self,
        cell: u32,
        statuses: &[EvacuationStatus],
        view_age: Duration,
        now_since_boot: Duration,
        metrics: &JobMetrics,
    ) {
        self.logged
            .retain(|(domain, ..)| statuses.iter().any(|status| status.domain == *domain));
        for status in statuses {
            if self.is_log_due(status, now_since_boot) {
                Self::log(cell, status, view_age, now_since_boot);
            }
        }
        let mut exported = Vec::new();
        for status in statuses {
            for (kind, count) in status.runs.by_kind() {
                let labels = EvacuationLabels {
                    cell,
                    domain: status.domain.to_string(),
                    kind,
                };
                let gauge = metrics.evacuation_runs.get_or_create(&labels);
                gauge.set(count as i64);
                drop(gauge);
                exported.push(labels);
            }
        }
        for labels in self.exported.iter().filter(|old| !exported.contains(old)) {
            metrics.evacuation_runs.remove(labels);
        }
        self.exported = exported;
    }

    fn is_log_due(&mut self, status: &EvacuationStatus, now: Duration) -> bool {
        let known = self
            .logged
            .iter_mut()
            .find(|(domain, ..)| *domain == status.domain);
        let Some((_, state, logged_at)) = known else {
            let entry = (status.domain.clone(), status.state, now);
            self.logged.push(entry);
            return true;
        };
        let is_due = *state != status.state
            || status.state != EvacuationState::Empty
                && now.saturating_sub(*logged_at) >= LOG_INTERVAL;
        if is_due {
            (*state, *logged_at) = (status.state, now);
        }
        is_due
    }

    fn log(cell: u32, status: &EvacuationStatus, view_age: Duration, now: Duration) {
        let since_ms = now.saturating_sub(status.requested_at).as_millis();
        let runs = status.runs;
        decided!(
            Decision::EvacuationProgress,
            cell: cell,
            domain: status.domain,
            state: status.state,
            since_ms: since_ms,
            view_ms: view_age.as_millis(),
            runs: runs.total(),
            stopping: runs.stopping,
            ending: runs.ending,
            without_checkpoint: runs.without_checkpoint,
            movable: runs.movable,
            long_running: runs.long_running,
            gang_members: runs.gang_members,
            executors: status.executors,
            silent_executors: status.silent_executors,
        );
    }
}
