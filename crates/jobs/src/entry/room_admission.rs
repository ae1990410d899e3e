use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::RoomSource;
use crate::admission::RoomQuery;
use crate::admission::RoomView;
use crate::admission::UNRESERVED_JOB_MAX_BYTES;
use crate::model::JobId;

/// The pause before an owner is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The reason why a submission is refused for want of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoomRefusal {
    /// The owner of the cell keeps as many jobs as it can.
    Full {
        /// The size of the job.
        bytes: usize,
    },
    /// The job is large, and no owner could tell whether there is room.
    NotTold(Box<str>),
}

impl fmt::Display for RoomRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { bytes } => write!(f, "the cell has no room for a job of {bytes} bytes"),
            Self::NotTold(cause) => write!(f, "the room of the cell is not known: {cause}"),
        }
    }
}

impl Error for RoomRefusal {}

/// Refuses submissions for which the owner of their cell has no room.
///
/// Small jobs are also accepted while the owner can't be reached; large ones wait for it.
pub struct RoomAdmission {
    source: Arc<dyn RoomSource>,
    views: Mutex<BTreeMap<u32, RoomView>>,
    query_timeout: Duration,
}

impl RoomAdmission {
    /// Creates the admission of a host.
    pub fn new(source: Arc<dyn RoomSource>, query_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            source,
            views: Mutex::default(),
            query_timeout,
        })
    }

    /// Checks that there is room for a job of a cell, whose owner would keep `bytes` for it.
    ///
    /// # Errors
    /// There is no room, or nobody can tell for a large job by `deadline`.
    pub async fn admit(
        self: &Arc<Self>,
        cell: u32,
        id: JobId,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), RoomRefusal> {
        if bytes > UNRESERVED_JOB_MAX_BYTES {
            return self.admit_large(cell, id, bytes, deadline).await;
        }
        match self.with_view(cell, |view| view.count(bytes)) {
            RoomQuery::None => Ok(()),
            RoomQuery::InBackground => {
                let admission = Arc::clone(self);
                tokio::spawn(async move { admission.query_small(cell, id, bytes).await });
                Ok(())
            }
            RoomQuery::First => match self.query_small(cell, id, bytes).await {
                Some(false) => Err(RoomRefusal::Full { bytes }),
                _ => Ok(()),
            },
        }
    }

    async fn admit_large(
        &self,
        cell: u32,
        id: JobId,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), RoomRefusal> {
        loop {
            let told = self
                .source
                .reserve_room(cell, id, bytes, self.query_timeout);
            let error = match told.await {
                Ok(true) => return Ok(()),
                Ok(false) => return Err(RoomRefusal::Full { bytes }),
                Err(error) => error,
            };
            if Instant::now() + RETRY_PAUSE + self.query_timeout > deadline {
                return Err(RoomRefusal::NotTold(error.to_string().into()));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn query_small(&self, cell: u32, id: JobId, bytes: usize) -> Option<bool> {
        let told = self
            .source
            .reserve_room(cell, id, bytes, self.query_timeout);
        // Without an answer, the view keeps its state.
        let has_room = told.await.ok();
        self.with_view(cell, |view| view.record(has_room));
        has_room
    }

    fn with_view<T>(&self, cell: u32, act: impl FnOnce(&mut RoomView) -> T) -> T {
        let mut views = self.views.lock().unwrap_or_else(PoisonError::into_inner);
        act(views.entry(cell).or_default())
    }
}
