use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use super::Advisor;
use super::ExecutorLink;
use super::KeyedRecord;
use super::Partition;
use super::Store;
use crate::config::DeploymentConfig;
use crate::model::ExecutorEntry;
use crate::model::ExecutorId;

/// A record of the platform that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(Box<str>);

impl DecodeError {
    /// Creates an error from one sentence.
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

/// The platform as a whole: its store, and what its own records mean.
pub trait Platform: Send + Sync {
    /// Returns the store.
    fn store(&self) -> Arc<dyn Store>;

    /// Returns where operators write.
    fn operator_partition(&self) -> Partition;

    /// Returns where executors register themselves.
    fn executor_partition(&self) -> Partition;

    /// Reads an operator's record as a configuration; `None` if it is about something else.
    ///
    /// # Errors
    /// The record is about the configuration but can't be understood.
    fn decode_config(&self, record: &KeyedRecord) -> Result<Option<DeploymentConfig>, DecodeError>;

    /// Reads an executor's record.
    ///
    /// # Errors
    /// The record names no executor to use.
    fn decode_executor(&self, key: &str, value: &Bytes) -> Result<ExecutorEntry, DecodeError>;

    /// Returns the approval service, if the deployment has one.
    fn advisor(&self) -> Option<Arc<dyn Advisor>>;

    /// Opens a link to an executor; nothing is connected yet.
    fn executor_link(&self, id: &ExecutorId, address: SocketAddr) -> Arc<dyn ExecutorLink>;
}
