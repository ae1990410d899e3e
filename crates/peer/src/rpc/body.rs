use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

const SEND_CHUNK_BYTES: usize = 16 << 10;
const BUDGET_UNIT_BYTES: usize = 1 << 10;

/// The memory that the bodies of all calls may take together.
#[derive(Clone, Debug)]
pub(super) struct BodyBudget {
    units: Arc<Semaphore>,
}

impl BodyBudget {
    /// Creates a budget of so many bytes.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            units: Arc::new(Semaphore::new(bytes / BUDGET_UNIT_BYTES)),
        }
    }

    /// Takes a part; none if too little is left.
    fn take(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = bytes.div_ceil(BUDGET_UNIT_BYTES).try_into().ok()?;
        Arc::clone(&self.units).try_acquire_many_owned(units).ok()
    }
}

/// A whole body and its part of the budget.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) body: Bytes,
    _permits: Vec<OwnedSemaphorePermit>,
}

/// Reads a whole body of limited size within a budget.
pub(super) async fn receive(
    stream: &mut RecvStream,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Received, Box<str>> {
    let mut whole = BytesMut::new();
    let mut permits = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|error| Box::from(error.to_string()))?;
        if whole.len() + chunk.len() > max_bytes {
            return Err(format!("the body is larger than {max_bytes} bytes").into());
        }
        let Some(permit) = budget.take(chunk.len()) else {
            return Err("too many bytes are in flight".into());
        };
        permits.push(permit);
        // The window is returned so that the sender may go on.
        let _ = stream.flow_control().release_capacity(chunk.len());
        whole.extend_from_slice(&chunk);
    }
    Ok(Received {
        body: whole.freeze(),
        _permits: permits,
    })
}

/// Sends a whole body as the receiver's window allows.
pub(super) async fn send(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len().min(SEND_CHUNK_BYTES));
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let room = match granted {
            Some(room) => room?,
            None => return Err(h2::Reason::CANCEL.into()),
        };
        let chunk = body.split_to(room.min(body.len()));
        stream.send_data(chunk, false)?;
    }
    stream.send_data(Bytes::new(), true)
}
