use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

const PRIORITY_MAX: usize = 9;

/// Limits the requests that the front holds at once; lower priorities meet their limit first.
#[derive(Debug)]
pub struct Admission {
    requests_max: usize,
    held: AtomicUsize,
}

/// One request that the front holds.
#[derive(Debug)]
pub struct Admitted {
    admission: Arc<Admission>,
}

impl Admission {
    /// Creates an admission for a number of requests at once.
    pub fn new(requests_max: usize) -> Self {
        Self {
            requests_max,
            held: AtomicUsize::new(0),
        }
    }

    /// Admits a request, unless its priority's limit is reached.
    pub fn try_admit(self: &Arc<Self>, priority: u8) -> Option<Admitted> {
        let limit = self.limit(priority);
        let add = |held| (held < limit).then_some(held + 1);
        self.held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(Admitted {
            admission: Arc::clone(self),
        })
    }

    /// Returns the limit of a priority: half of all for the lowest, all for the highest.
    pub fn limit(&self, priority: u8) -> usize {
        let steps = PRIORITY_MAX + usize::from(priority).min(PRIORITY_MAX);
        (self.requests_max * steps / (2 * PRIORITY_MAX)).max(1)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.admission.held.fetch_sub(1, Ordering::AcqRel);
    }
}
