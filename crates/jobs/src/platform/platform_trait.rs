use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use super::Advisor;
use super::ExecutorLink;
use super::KeyedRecord;
use super::OperatorRecord;
use super::Partition;
use super::Store;
use crate::model::ExecutorEntry;
use crate::model::ExecutorId;

/// The error for a platform record that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(Box<str>);

impl DecodeError {
    /// Creates an error from a description of the fault, one sentence long.
    pub fn new(cause: impl Into<Box<str>>) -> Self {
        Self(cause.into())
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for DecodeError {}

/// The surrounding platform: access to its services and the decoding of its records.
pub trait Platform: Send + Sync {
    /// Returns the client of the store.
    fn store(&self) -> Arc<dyn Store>;

    /// Returns the partition to which operators publish the configuration and their requests.
    fn operator_partition(&self) -> Partition;

    /// Returns the partition that executors register in.
    fn executor_partition(&self) -> Partition;

    /// Decodes an operator's record.
    ///
    /// # Errors
    /// The record concerns the scheduler but can't be decoded.
    fn decode_operator_record(&self, record: &KeyedRecord) -> Result<OperatorRecord, DecodeError>;

    /// Decodes the registration record of an executor.
    ///
    /// # Errors
    /// The record describes no usable executor.
    fn decode_executor(&self, key: &str, value: &Bytes) -> Result<ExecutorEntry, DecodeError>;

    /// Returns the client of the approval service, if the deployment has one.
    fn advisor(&self) -> Option<Arc<dyn Advisor>>;

    /// Creates a client of an executor. The client connects on its first call.
    fn executor_link(&self, id: &ExecutorId, address: SocketAddr) -> Arc<dyn ExecutorLink>;
}
