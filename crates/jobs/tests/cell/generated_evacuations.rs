//! Evacuations in the generated test: the operators' records, and what each owner has read of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::CellState;
use dotterelhook_jobs::evacuation::Evacuations;
use dotterelhook_jobs::evacuation::ViewSnapshot;
use tokio::time::Instant;

use crate::generated_events::EXECUTORS;

/// Half of the bound of 5 s after which nothing may start in an evacuated failure domain.
const VIEW_AGE_MAX: Duration = Duration::from_millis(2_500);

/// Returns the failure domain of an executor. Each executor has one of its own.
pub(crate) fn domain_of(executor: usize) -> String {
    format!("domain-{executor}")
}

/// The operators' records.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorRecords {
    /// The evacuated failure domains, each with the time of the acknowledgement.
    evacuated_at: BTreeMap<usize, Instant>,
}

impl OperatorRecords {
    pub(crate) fn evacuate(&mut self, executor: usize, now: Instant) {
        self.evacuated_at.entry(executor).or_insert(now);
    }

    pub(crate) fn end(&mut self, executor: usize) {
        self.evacuated_at.remove(&executor);
    }

    pub(crate) fn end_all(&mut self) {
        self.evacuated_at.clear();
    }

    /// Checks that a run may begin on an executor.
    pub(crate) fn check_start(&self, executor: usize, now: Instant) {
        if let Some(acked_at) = self.evacuated_at.get(&executor) {
            let late = now.duration_since(*acked_at);
            assert!(
                late <= VIEW_AGE_MAX,
                "{} started a run {late:?} after its evacuation was acknowledged",
                EXECUTORS[executor]
            );
        }
    }

    fn evacuations(&self) -> Evacuations {
        let mut evacuations = Evacuations::default();
        for executor in self.evacuated_at.keys() {
            evacuations.request(domain_of(*executor).as_str().into(), Duration::ZERO);
        }
        evacuations
    }
}

/// What one owner has read of the operators' records.
#[derive(Clone, Debug)]
pub(crate) struct OwnerView {
    evacuations: Arc<Evacuations>,
    confirmed_at: Instant,
    /// The answer to a read, and when the read was sent.
    in_flight: Option<(Evacuations, Instant)>,
    /// Whether the owner's reads fail. Its appends and its calls to executors don't.
    pub(crate) is_cut_off: bool,
}

impl OwnerView {
    /// Creates the view of an owner that has just read the records.
    pub(crate) fn new(records: &OperatorRecords, now: Instant) -> Self {
        Self {
            evacuations: Arc::new(records.evacuations()),
            confirmed_at: now,
            in_flight: None,
            is_cut_off: false,
        }
    }

    /// Receives the answer to the last read and sends the next one.
    pub(crate) fn read(&mut self, records: &OperatorRecords, now: Instant) {
        if self.is_cut_off {
            self.in_flight = None;
            return;
        }
        if let Some((evacuations, sent_at)) = self.in_flight.take() {
            if *self.evacuations != evacuations {
                self.evacuations = Arc::new(evacuations);
            }
            self.confirmed_at = sent_at;
        }
        self.in_flight = Some((records.evacuations(), now));
    }

    /// Passes the view to the owner's state.
    pub(crate) fn apply_to(&self, cell: &mut CellState, now: Instant) {
        let view = ViewSnapshot {
            evacuations: Arc::clone(&self.evacuations),
            valid_until: Some(self.confirmed_at + VIEW_AGE_MAX),
        };
        cell.apply_operator_view(view, now);
    }
}
