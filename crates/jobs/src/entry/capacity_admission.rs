use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::CapacitySource;
use super::CapacityView;
use super::EntrySettings;
use super::RecentJobs;
use super::RecordWriter;
use crate::admission::CapacityRefusal;
use crate::model::FailureDomainName;
use crate::model::JobId;
use crate::model::JobSpec;
use crate::model::QueueConfig;
use crate::model::QueueName;
use crate::observe::Decision;
use crate::observe::decided;
use crate::ownership::cell_of;

/// How long a host remembers the submissions that it began to store, longer than any client repeats one.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);
/// The time in which a store at its usual speed carries out an append, and the owner reads the record.
const STORED_AFTER: Duration = Duration::from_millis(150);

/// Refuses submissions that can't be served within three times their objective.
///
/// A job id that may have been submitted before is never refused: the earlier submission may be stored.
/// A submission is refused only if this host has not tried to store it, the store works at its usual
/// speed, and the owner of the cell has not read it by the time at which it would have.
pub struct CapacityAdmission {
    owners: Arc<dyn CapacitySource>,
    writer: Arc<RecordWriter>,
    view: Arc<Mutex<CapacityView>>,
    attempted: Mutex<RecentJobs>,
    failure_domain: Option<FailureDomainName>,
    cell_count: u32,
    settings: EntrySettings,
}

impl CapacityAdmission {
    /// Creates the admission of a host in the given failure domain.
    pub fn new(
        owners: Arc<dyn CapacitySource>,
        writer: Arc<RecordWriter>,
        failure_domain: Option<FailureDomainName>,
        cell_count: u32,
        settings: EntrySettings,
    ) -> Self {
        Self {
            owners,
            writer,
            view: Arc::default(),
            attempted: Mutex::new(RecentJobs::new(ATTEMPT_RETENTION)),
            failure_domain: failure_domain.filter(|_| settings.records_entry_domain),
            cell_count,
            settings,
        }
    }

    /// Returns the failure domain of this host, if submissions record it.
    pub fn failure_domain(&self) -> Option<&FailureDomainName> {
        self.failure_domain.as_ref()
    }

    /// Returns why capacity seems too short for a submission, with the age of the report that says so.
    pub fn assess(
        &self,
        id: JobId,
        spec: &JobSpec,
        queue: &QueueConfig,
    ) -> Option<(CapacityRefusal, Duration)> {
        if !self.settings.refuses_for_capacity {
            return None;
        }
        let cell = cell_of(id.as_str(), self.cell_count);
        self.request_report(cell);
        self.find_refusal(id, cell, spec, queue)
    }

    /// Returns the refusal of a submission that was assessed, unless the job may be known. Otherwise,
    /// counts the submission as one that may be stored.
    pub async fn admit(
        &self,
        id: JobId,
        queue: &QueueName,
        refusal: Option<(CapacityRefusal, Duration)>,
        deadline: Instant,
    ) -> Result<(), CapacityRefusal> {
        if !self.settings.refuses_for_capacity {
            return Ok(());
        }
        if let Some((refusal, age)) = refusal
            && self.is_new(id, deadline).await
        {
            decided!(Decision::CapacityRefused, job: id, queue: queue.as_str(), needed_ms: refusal.needed.as_millis(), limit_ms: refusal.limit.as_millis(), wait_ms: refusal.wait.as_millis(), report_age_ms: age.as_millis());
            return Err(refusal);
        }
        self.attempted().add(id, Instant::now());
        Ok(())
    }

    fn find_refusal(
        &self,
        id: JobId,
        cell: u32,
        spec: &JobSpec,
        queue: &QueueConfig,
    ) -> Option<(CapacityRefusal, Duration)> {
        let now = Instant::now();
        let refusal = {
            let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
            let (report, age) = view.recent(cell, now)?;
            (report.refusal(spec, queue)?, age)
        };
        let is_store_well = !self.writer.is_store_slow() && !self.writer.is_store_unreachable();
        let is_attempted = self.attempted().contains(id, now);
        (is_store_well && !is_attempted).then_some(refusal)
    }

    /// Returns whether the owner knows no earlier submission of the job, after the time in which it
    /// would have read one.
    async fn is_new(&self, id: JobId, deadline: Instant) -> bool {
        if Instant::now() + STORED_AFTER + self.settings.query_timeout > deadline {
            return false;
        }
        sleep(STORED_AFTER).await;
        let known = self.owners.is_known(id, self.settings.query_timeout).await;
        known == Ok(false) && !self.writer.is_store_slow()
    }

    /// Requests a report in the background if the newest one is old.
    fn request_report(&self, cell: u32) {
        let requested_at = Instant::now();
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        if !view.begin_request(cell, requested_at) {
            return;
        }
        drop(view);
        let owners = Arc::clone(&self.owners);
        let view = Arc::clone(&self.view);
        let domain = self.failure_domain.clone();
        let timeout = self.settings.query_timeout;
        tokio::spawn(async move {
            let report = owners.capacity(cell, domain.as_ref(), timeout).await;
            // Without an answer the report grows old, and then refuses nothing.
            if let Ok(report) = report {
                let mut view = view.lock().unwrap_or_else(PoisonError::into_inner);
                view.store(cell, report, requested_at);
            }
        });
    }

    fn attempted(&self) -> MutexGuard<'_, RecentJobs> {
        self.attempted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
