use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::CapacityReport;
use crate::admission::REPORT_AGE_MAX;

/// The interval between two reports while work waits. At 43 hosts, the reports cost the owner 11 KB/s.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval between two reports while no work waits.
const CALM_INTERVAL: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct CellReport {
    newest: Option<(CapacityReport, Instant)>,
    requested_at: Option<Instant>,
}

/// The newest capacity report of each cell, as an entry host knows it.
#[derive(Debug, Default)]
pub struct CapacityView {
    cells: BTreeMap<u32, CellReport>,
}

impl CapacityView {
    /// Returns the report of a cell and its age, or `None` if there is no recent one. The age counts
    /// from the request, since the report may be as old.
    pub fn recent(&self, cell: u32, now: Instant) -> Option<(&CapacityReport, Duration)> {
        let (report, requested_at) = self.cells.get(&cell)?.newest.as_ref()?;
        let age = now.duration_since(*requested_at);
        (age <= REPORT_AGE_MAX).then_some((report, age))
    }

    /// Returns whether a report should be requested now, and if so, counts it as requested.
    pub fn begin_request(&mut self, cell: u32, now: Instant) -> bool {
        let known = self.cells.entry(cell).or_default();
        let has_shortage = known
            .newest
            .as_ref()
            .is_some_and(|(report, _)| !report.backlogs.is_empty());
        let interval = match has_shortage {
            true => SHORTAGE_INTERVAL,
            false => CALM_INTERVAL,
        };
        let is_due = known
            .requested_at
            .is_none_or(|at| now.duration_since(at) >= interval);
        if is_due {
            known.requested_at = Some(now);
        }
        is_due
    }

    /// Stores a report that was requested at the given time, unless a newer one is known.
    pub fn store(&mut self, cell: u32, report: CapacityReport, requested_at: Instant) {
        let newest = &mut self.cells.entry(cell).or_default().newest;
        if newest.as_ref().is_none_or(|(_, at)| *at < requested_at) {
            *newest = Some((report, requested_at));
        }
    }
}
