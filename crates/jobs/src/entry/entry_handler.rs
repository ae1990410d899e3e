use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::BodyError;
use dotterelhook_kernel::http::BodyLimits;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::RequestBody;
use dotterelhook_kernel::http::full_body;
use dotterelhook_kernel::http::receive_body;
use hyper::Request;
use hyper::Response;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::CapacityAdmission;
use super::CapacitySource;
use super::EntrySettings;
use super::OwnerClient;
use super::RecentJobs;
use super::RecordRouter;
use super::RecordWriter;
use super::RoomAdmission;
use crate::admission::CapacityRefusal;
use crate::admission::longest_return_time;
use crate::admission::return_time;
use crate::config::ActiveConfig;
use crate::config::DeploymentConfig;
use crate::config::QueueRoute;
use crate::ledger::encode_submission;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::Submission;
use crate::observe::Decision;
use crate::observe::JobMetrics;
use crate::observe::OutcomeLabels;
use crate::observe::decided;
use crate::ownership::cell_of;
use crate::ownership::job_submission_partition;
use crate::platform::CallKind;
use crate::platform::ClientCall;
use crate::platform::ClientProtocol;
use crate::platform::ClientReply;
use crate::platform::KeyedRecord;
use crate::platform::StoreError;

/// The pause before an owner is queried again.
const QUERY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How many times its size a submission takes at most: its record, and the copies of it in an append and
/// in a call to the owner. Before there is a record, the body and its decoded form take less.
const SUBMISSION_COPIES: usize = 3;

/// A submission that is ready to be stored.
struct PreparedSubmission {
    record: KeyedRecord,
    /// What the owner of the job will keep for it.
    kept_bytes: usize,
    /// Why capacity seems too short for it, with the age of the report that says so.
    shortage: Option<(CapacityRefusal, Duration)>,
}

/// The HTTP entry point of clients' calls.
pub struct EntryHandler {
    /// The protocol that decodes calls and encodes replies.
    pub protocol: Arc<dyn ClientProtocol>,
    /// The active configuration.
    pub config: Arc<ActiveConfig>,
    /// Stores submissions and cancellations.
    pub records: RecordRouter,
    /// Queries the owners of jobs.
    pub owner_client: Arc<OwnerClient>,
    /// The writer of this host, which knows how long the store has been away.
    pub writer: Arc<RecordWriter>,
    /// The timing of replies.
    pub settings: EntrySettings,
    /// Refuses submissions for lack of capacity.
    pub capacity: CapacityAdmission,
    /// Refuses submissions for which the owner of their cell has no room.
    pub room: Arc<RoomAdmission>,
    /// The number of cells of the deployment.
    pub cell_count: u32,
    /// The metrics of calls.
    pub metrics: JobMetrics,
    /// The jobs that this host accepted recently.
    pub recent: Mutex<RecentJobs>,
}

#[async_trait]
impl HttpHandler for EntryHandler {
    async fn handle(&self, request: Request<ClientBody>) -> Response<AnswerBody> {
        let arrived_at = Instant::now();
        let (head, body) = request.into_parts();
        let call = self.protocol.decode_head(&head);
        let wait = call.wait.unwrap_or(self.settings.default_wait);
        let deadline = arrived_at + wait.saturating_sub(self.settings.answer_margin);
        let reply = self.answer(&call, body, arrived_at, deadline).await;
        let response = self.protocol.encode(&reply);
        self.record_call(&call, &reply, &response, arrived_at);
        response.map(full_body)
    }
}

impl EntryHandler {
    async fn answer(
        &self,
        call: &ClientCall,
        body: ClientBody,
        arrived_at: Instant,
        deadline: Instant,
    ) -> ClientReply {
        let Some(config) = self.config.current() else {
            return self.not_done("no configuration has been read yet");
        };
        let Some((route, rest)) = config.route(&call.host, &call.path) else {
            return ClientReply::NoQueue;
        };
        let deadline = deadline.min(arrived_at + route.timeout);
        let dispatch = self.dispatch(call.kind, rest, &config, route, body, deadline);
        match timeout_at(deadline, dispatch).await {
            Ok(reply) => reply,
            Err(_) => ClientReply::Unknown("the client's wait is over".into()),
        }
    }

    async fn dispatch(
        &self,
        kind: CallKind,
        rest: &str,
        config: &DeploymentConfig,
        route: &QueueRoute,
        body: ClientBody,
        deadline: Instant,
    ) -> ClientReply {
        let id = JobId::from_str(rest);
        match (kind, id) {
            (CallKind::Read, _) if rest.is_empty() => self.count_pending(route, deadline).await,
            (CallKind::Read, Ok(id)) => self.query_state(id, deadline).await,
            (CallKind::Cancel, Ok(id)) => self.cancel(id, deadline).await,
            (CallKind::Submit, Ok(id)) => {
                let body_max_bytes = config.body_max_bytes();
                self.submit(id, body_max_bytes, route, body, deadline).await
            }
            (CallKind::Other, _) => ClientReply::NoSuchMethod,
            (_, Err(error)) => ClientReply::Malformed(error.to_string().into()),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        body_max_bytes: usize,
        route: &QueueRoute,
        body: ClientBody,
        deadline: Instant,
    ) -> ClientReply {
        let limits = BodyLimits {
            max_bytes: body_max_bytes,
            copies: SUBMISSION_COPIES,
        };
        let body_deadline = deadline - self.settings.verdict_margin;
        let body = match receive_body(body, limits, body_deadline).await {
            Ok(body) => body,
            Err(error @ BodyError::TooLarge { .. }) => {
                return ClientReply::Malformed(error.to_string().into());
            }
            Err(error) => return self.refuse_unread(id, &error).await,
        };
        let prepared = match self.prepare(id, route, body) {
            Ok(prepared) => prepared,
            Err(reply) => return reply,
        };
        let queue = &route.queue.name;
        let admitted = self.capacity.admit(id, queue, prepared.shortage, deadline);
        if let Err(refusal) = admitted.await {
            self.metrics.capacity_refusals.inc();
            return ClientReply::NotDone {
                cause: refusal.to_string().into(),
                retry_after: refusal.return_time(self.settings.retry_after),
            };
        }
        let cell = cell_of(id.as_str(), self.cell_count);
        let has_room = self.room.admit(cell, id, prepared.kept_bytes, deadline);
        if let Err(refusal) = has_room.await {
            return ClientReply::NotDone {
                cause: refusal.to_string().into(),
                retry_after: longest_return_time(self.settings.retry_after),
            };
        }
        match self.store_record(id, prepared.record, deadline).await {
            Ok(()) => {
                let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
                recent.add(id, Instant::now());
                ClientReply::Accepted
            }
            Err(reply) => reply,
        }
    }

    /// Refuses a submission that was not received. If an earlier one of the same job is stored, the job
    /// runs, and the client must not hear that it never does.
    async fn refuse_unread(&self, id: JobId, error: &BodyError) -> ClientReply {
        let is_left = matches!(error, BodyError::BrokenOff(_));
        let is_accepted = !is_left
            && (self.is_recent(id) || {
                let known = self.owner_client.is_known(id, self.settings.query_timeout);
                known.await == Ok(true)
            });
        match is_accepted {
            true => ClientReply::Accepted,
            false => self.not_done(&error.to_string()),
        }
    }

    /// Encodes the record of a submission. The body and its decoded form end here: of a call that waits,
    /// only the record is kept.
    fn prepare(
        &self,
        id: JobId,
        route: &QueueRoute,
        body: RequestBody,
    ) -> Result<PreparedSubmission, ClientReply> {
        let malformed = |cause: String| ClientReply::Malformed(cause.into());
        let spec = self.protocol.decode_job(&body);
        let now_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let submission = Submission {
            queue: route.queue.as_ref().clone(),
            spec: spec.map_err(|error| malformed(error.to_string()))?,
            accepted_unix_ms: now_unix.as_millis() as u64,
            entry_domain: self.capacity.failure_domain().cloned(),
        };
        let value = encode_submission(&submission).map_err(|error| malformed(error.to_string()))?;
        let mut reservation = body.into_reservation();
        reservation.shrink_to(value.len() * SUBMISSION_COPIES);
        let record = KeyedRecord {
            key: id.as_str().into(),
            value: reservation.attach_to(value),
        };
        self.writer
            .check_size(&record)
            .map_err(|error| ClientReply::TooLarge(error.to_string().into()))?;
        let Submission { spec, queue, .. } = &submission;
        Ok(PreparedSubmission {
            record,
            kept_bytes: submission.memory_bytes(),
            shortage: self.capacity.assess(id, spec, queue),
        })
    }

    async fn cancel(&self, id: JobId, deadline: Instant) -> ClientReply {
        let key = format!("{}{id}", crate::ownership::CANCELLATION_KEY_PREFIX);
        let record = KeyedRecord {
            key: key.into(),
            value: Bytes::from_static(b"cancelled"),
        };
        match self.store_record(id, record, deadline).await {
            Ok(()) => ClientReply::CancelAccepted,
            Err(reply) => reply,
        }
    }

    async fn store_record(
        &self,
        id: JobId,
        record: KeyedRecord,
        deadline: Instant,
    ) -> Result<(), ClientReply> {
        let cell = cell_of(id.as_str(), self.cell_count);
        let partition = job_submission_partition(id.as_str(), self.cell_count);
        let deadline = deadline - self.settings.verdict_margin;
        let stored = self.records.store(cell, partition, record, deadline);
        let stored = stored.await;
        stored.map_err(|error| match error {
            StoreError::Rejected(cause) => ClientReply::TooLarge(cause),
            error if error.had_no_effect() => self.not_done(&error.to_string()),
            error => ClientReply::Unknown(error.to_string().into()),
        })
    }

    async fn query_state(&self, id: JobId, deadline: Instant) -> ClientReply {
        loop {
            let query = self.owner_client.job_state(id, self.settings.query_timeout);
            let error = match query.await {
                Ok(Some(state)) => return ClientReply::State(state),
                Ok(None) if self.is_recent(id) => {
                    return ClientReply::State(JobState::Pending);
                }
                Ok(None) => return ClientReply::NoJob,
                Err(error) => error,
            };
            if Instant::now() + self.settings.query_timeout > deadline {
                return self.not_done(&error.to_string());
            }
            sleep(QUERY_RETRY_PAUSE).await;
        }
    }

    async fn count_pending(&self, route: &QueueRoute, deadline: Instant) -> ClientReply {
        loop {
            let timeout = self.settings.query_timeout;
            let error = match self
                .owner_client
                .pending_count(&route.queue.name, timeout)
                .await
            {
                Ok(count) => return ClientReply::PendingCount(count),
                Err(error) => error,
            };
            if Instant::now() + timeout > deadline {
                return self.not_done(&error.to_string());
            }
            sleep(QUERY_RETRY_PAUSE).await;
        }
    }

    fn is_recent(&self, id: JobId) -> bool {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.contains(id, Instant::now())
    }

    fn not_done(&self, cause: &str) -> ClientReply {
        ClientReply::NotDone {
            cause: cause.into(),
            retry_after: return_time(self.settings.retry_after, self.writer.outage_age()),
        }
    }

    fn record_call(
        &self,
        call: &ClientCall,
        reply: &ClientReply,
        response: &Response<Bytes>,
        arrived_at: Instant,
    ) {
        let took = arrived_at.elapsed();
        let outcome = match reply {
            ClientReply::Accepted | ClientReply::CancelAccepted => "stored",
            ClientReply::State(_) | ClientReply::PendingCount(_) => "told",
            ClientReply::NoQueue | ClientReply::NoJob => "not-found",
            ClientReply::Malformed(_) | ClientReply::NoSuchMethod => "malformed",
            ClientReply::TooLarge(_) => "too-large",
            ClientReply::NotDone { .. } => "not-done",
            ClientReply::Unknown(_) => "unknown",
        };
        let kind = <&'static str>::from(call.kind);
        let calls = &self.metrics.calls;
        calls.get_or_create(&OutcomeLabels { kind, outcome }).inc();
        self.metrics.call_seconds.observe(took.as_secs_f64());
        let cause: &str = match reply {
            ClientReply::NotDone { cause, .. }
            | ClientReply::Unknown(cause)
            | ClientReply::Malformed(cause)
            | ClientReply::TooLarge(cause) => cause,
            // Queries change nothing, so they are counted but not logged.
            ClientReply::State(_) | ClientReply::PendingCount(_) => return,
            _ => "",
        };
        let version = self.config.current().map_or(0, |config| config.version());
        decided!(Decision::CallAnswered, kind: kind, path: call.path, status: response.status().as_u16(), cause: cause, config: version, took_ms: took.as_millis());
    }
}
