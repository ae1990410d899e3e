use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

const PRIORITY_MAX: usize = 9;

/// Limits the requests admitted at once; lower priorities reach their limit first.
#[derive(Debug)]
pub struct AdmissionControl {
    requests_max: usize,
    admitted: AtomicUsize,
}

/// The place of one admitted request; released when dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    control: Arc<AdmissionControl>,
}

impl AdmissionControl {
    /// Creates a control that admits `requests_max` requests at the highest priority.
    pub fn new(requests_max: usize) -> Self {
        Self {
            requests_max,
            admitted: AtomicUsize::new(0),
        }
    }

    /// Admits a request, or returns `None` at the limit of its priority.
    pub fn try_admit(self: &Arc<Self>, priority: u8) -> Option<AdmissionPermit> {
        let limit = self.limit(priority);
        let add = |admitted| (admitted < limit).then_some(admitted + 1);
        self.admitted
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(AdmissionPermit {
            control: Arc::clone(self),
        })
    }

    /// Returns the limit of a priority from 0 to 9: half of all places at 0, all of them at 9.
    pub fn limit(&self, priority: u8) -> usize {
        let steps = PRIORITY_MAX + usize::from(priority).min(PRIORITY_MAX);
        (self.requests_max * steps / (2 * PRIORITY_MAX)).max(1)
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.control.admitted.fetch_sub(1, Ordering::AcqRel);
    }
}
