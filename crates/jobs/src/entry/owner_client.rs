use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_peer::rpc::PeerHandlers;
use dotterelhook_types::CallError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::CapacitySource;
use super::RecordForwarder;
use super::RecordWriter;
use super::RoomSource;
use crate::admission::CapacityReport;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::model::FailureDomainName;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueName;
use crate::ownership::OwnedCells;
use crate::ownership::OwnerDirectory;
use crate::ownership::cell_of;
use crate::ownership::submission_partition_at;
use crate::platform::KeyedRecord;
use crate::platform::Partition;

const JOB_STATE: &str = "job-state";
const CAPACITY: &str = "capacity";
const PENDING_COUNT: &str = "pending-count";
const STORE_RECORD: &str = "store-record";
const JOB_ROOM: &str = "job-room";

/// The part of a record's time that is reserved for the owner's answer.
const FORWARD_MARGIN: Duration = Duration::from_millis(30);

/// Calls the owners of cells, in this process or on other hosts.
pub struct OwnerClient {
    owned_cells: Arc<OwnedCells>,
    directory: Arc<OwnerDirectory>,
    peers: Arc<PeerClient>,
    cell_count: u32,
    /// The room that this host would have as an owner.
    room_max_bytes: usize,
}

impl OwnerClient {
    /// Creates a client that finds owners in this process by `owned_cells` and all others by
    /// `directory`.
    pub fn new(
        owned_cells: Arc<OwnedCells>,
        directory: Arc<OwnerDirectory>,
        peers: Arc<PeerClient>,
        cell_count: u32,
        memory: &MemoryAccount,
    ) -> Self {
        Self {
            owned_cells,
            directory,
            peers,
            cell_count,
            room_max_bytes: memory.lasting_max_bytes(),
        }
    }

    /// Queries the state of a job; `None` if no such job was submitted.
    ///
    /// # Errors
    /// The owner can't be reached, or can't answer for certain yet.
    pub async fn job_state(
        &self,
        id: JobId,
        timeout: Duration,
    ) -> Result<Option<JobState>, CallError> {
        let cell = cell_of(id.as_str(), self.cell_count);
        match self.owned_cells.find(cell) {
            Some(owner) => owner.job_state(id),
            None => self.call(cell, JOB_STATE, &(cell, id), timeout).await,
        }
    }

    /// Queries the number of a queue's jobs that have not started, over all cells.
    ///
    /// # Errors
    /// Some owner can't be reached.
    pub async fn pending_count(
        &self,
        queue: &QueueName,
        timeout: Duration,
    ) -> Result<u64, CallError> {
        let mut count = 0;
        for cell in 0..self.cell_count {
            count += match self.owned_cells.find(cell) {
                Some(owner) => owner.pending_count(queue),
                None => {
                    self.call(cell, PENDING_COUNT, &(cell, queue), timeout)
                        .await?
                }
            };
        }
        Ok(count)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        cell: u32,
        name: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let not_run = |error: crate::ledger::CodecError| CallError::not_run(error.to_string());
        let Some(owner) = self.directory.owner(cell) else {
            self.directory.request_refresh();
            return Err(CallError::not_run(format!("cell {cell} has no owner yet")));
        };
        let frame = encode(request).map_err(not_run)?;
        let answer = self
            .peers
            .call(owner.member.address, name, frame, timeout)
            .await;
        if answer.is_err() {
            self.directory.request_refresh();
        }
        // The owner has handled the call. Whatever it did has taken effect.
        decode(&answer?).map_err(|error| CallError::may_have_run(error.to_string()))
    }
}

#[async_trait]
impl CapacitySource for OwnerClient {
    async fn capacity(
        &self,
        cell: u32,
        domain: Option<&FailureDomainName>,
        timeout: Duration,
    ) -> Result<CapacityReport, CallError> {
        match self.owned_cells.find(cell) {
            Some(owner) => Ok(owner.capacity_report(domain)),
            None => self.call(cell, CAPACITY, &(cell, domain), timeout).await,
        }
    }

    async fn is_known(&self, id: JobId, timeout: Duration) -> Result<bool, CallError> {
        let state = self.job_state(id, timeout).await?;
        Ok(state.is_some())
    }
}

#[async_trait]
impl RoomSource for OwnerClient {
    async fn reserve_room(
        &self,
        cell: u32,
        id: JobId,
        bytes: usize,
        timeout: Duration,
    ) -> Result<bool, CallError> {
        match self.owned_cells.find(cell) {
            Some(owner) => Ok(owner.reserve_room(id, bytes, self.room_max_bytes)),
            None => {
                let request = (cell, id, bytes as u64, self.room_max_bytes as u64);
                self.call(cell, JOB_ROOM, &request, timeout).await
            }
        }
    }
}

#[async_trait]
impl RecordForwarder for OwnerClient {
    async fn forward(
        &self,
        cell: u32,
        partition: Partition,
        record: &KeyedRecord,
        timeout: Duration,
    ) -> Result<(), CallError> {
        if self.owned_cells.find(cell).is_some() {
            return Err(CallError::not_run("this host owns the cell itself"));
        }
        let left_ms = timeout.saturating_sub(FORWARD_MARGIN).as_millis() as u64;
        let value = record.value.as_ref();
        let request = (partition.number, &record.key, value, left_ms);
        self.call(cell, STORE_RECORD, &request, timeout).await
    }
}

/// Registers the handlers that answer the calls of [`OwnerClient`]s on other hosts.
pub fn add_owner_handlers(
    handlers: &PeerHandlers,
    owned_cells: &Arc<OwnedCells>,
    writer: &Arc<RecordWriter>,
) {
    handlers.add(
        STORE_RECORD,
        Arc::new(StoreRecordHandler(Arc::clone(writer))),
    );
    handlers.add(
        JOB_STATE,
        Arc::new(JobStateHandler(Arc::clone(owned_cells))),
    );
    handlers.add(
        PENDING_COUNT,
        Arc::new(PendingCountHandler(Arc::clone(owned_cells))),
    );
    handlers.add(CAPACITY, Arc::new(CapacityHandler(Arc::clone(owned_cells))));
    handlers.add(JOB_ROOM, Arc::new(JobRoomHandler(Arc::clone(owned_cells))));
}

struct JobStateHandler(Arc<OwnedCells>);

struct PendingCountHandler(Arc<OwnedCells>);

struct CapacityHandler(Arc<OwnedCells>);

struct JobRoomHandler(Arc<OwnedCells>);

struct StoreRecordHandler(Arc<RecordWriter>);

#[async_trait]
impl PeerHandler for StoreRecordHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let (number, key, value, left_ms): (u32, Box<str>, Vec<u8>, u64) = decode_request(&frame)?;
        let deadline = Instant::now() + Duration::from_millis(left_ms);
        let record = KeyedRecord {
            key,
            value: value.into(),
        };
        let partition = submission_partition_at(number);
        let written = self.0.write(partition, record, deadline).await;
        written.map_err(|error| match error.had_no_effect() {
            true => CallError::not_run(error.to_string()),
            false => CallError::may_have_run(error.to_string()),
        })?;
        // The record is stored, so that no error may say that it is not.
        encode(&()).map_err(|error| CallError::may_have_run(error.to_string()))
    }
}

#[async_trait]
impl PeerHandler for JobStateHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let (cell, id): (u32, JobId) = decode_request(&frame)?;
        let owner = self.0.find(cell).ok_or_else(|| not_owner(cell))?;
        encode_answer(&owner.job_state(id)?)
    }
}

#[async_trait]
impl PeerHandler for PendingCountHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let (cell, queue): (u32, QueueName) = decode_request(&frame)?;
        let owner = self.0.find(cell).ok_or_else(|| not_owner(cell))?;
        encode_answer(&owner.pending_count(&queue))
    }
}

#[async_trait]
impl PeerHandler for JobRoomHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let (cell, id, bytes, host_max_bytes): (u32, JobId, u64, u64) = decode_request(&frame)?;
        let owner = self.0.find(cell).ok_or_else(|| not_owner(cell))?;
        encode_answer(&owner.reserve_room(id, bytes as usize, host_max_bytes as usize))
    }
}

#[async_trait]
impl PeerHandler for CapacityHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let (cell, domain): (u32, Option<FailureDomainName>) = decode_request(&frame)?;
        let owner = self.0.find(cell).ok_or_else(|| not_owner(cell))?;
        encode_answer(&owner.capacity_report(domain.as_ref()))
    }
}

fn not_owner(cell: u32) -> CallError {
    CallError::not_run(format!("this host does not own cell {cell}"))
}

fn decode_request<T: DeserializeOwned>(frame: &[u8]) -> Result<T, CallError> {
    decode(frame).map_err(|error| CallError::not_run(error.to_string()))
}

fn encode_answer<T: Serialize>(answer: &T) -> Result<Bytes, CallError> {
    encode(answer).map_err(|error| CallError::not_run(error.to_string()))
}
