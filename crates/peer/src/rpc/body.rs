use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_kernel::memory::Reservation;
use h2::RecvStream;
use h2::SendStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

const SEND_CHUNK_BYTES: usize = 16 << 10;
const BUDGET_UNIT_BYTES: usize = 1 << 10;

/// How many times its size a received body takes: the frame, what is decoded from it, and the copy that is
/// sent on.
const RECEIVED_COPIES: usize = 3;

/// The largest body that does not draw from the account. The hosts' calls about cells are smaller, and must
/// get through beside any crowd; the limit on calls bounds them.
const CONTROL_MAX_BYTES: usize = 4 << 10;

/// The memory budget that the bodies of all calls share.
#[derive(Clone, Debug)]
pub(super) struct BodyBudget {
    units: Arc<Semaphore>,
    /// The account of the process, for bodies that hold what clients have sent.
    account: Option<Arc<MemoryAccount>>,
}

/// What a body has reserved so far.
#[derive(Debug, Default)]
struct Reserved {
    received_bytes: usize,
    units: Vec<OwnedSemaphorePermit>,
    memory: Option<Reservation>,
}

impl BodyBudget {
    /// Creates a budget of `bytes`, rounded down to whole units.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            units: Arc::new(Semaphore::new(bytes / BUDGET_UNIT_BYTES)),
            account: None,
        }
    }

    /// Also draws from the account of the process.
    pub(super) fn with_account(self, account: Arc<MemoryAccount>) -> Self {
        Self {
            account: Some(account),
            ..self
        }
    }

    /// Reserves `bytes` more, rounded up to whole units; returns `None` if too little is free.
    async fn reserve(&self, bytes: usize, reserved: &mut Reserved) -> Option<()> {
        let units = bytes.div_ceil(BUDGET_UNIT_BYTES).try_into().ok()?;
        let units = Arc::clone(&self.units).try_acquire_many_owned(units).ok()?;
        reserved.received_bytes += bytes;
        if let Some(account) = &self.account
            && reserved.received_bytes > CONTROL_MAX_BYTES
        {
            let held_bytes = reserved.memory.as_ref().map_or(0, Reservation::bytes);
            let more = account.reserve(bytes * RECEIVED_COPIES, held_bytes, None);
            let more = more.await.ok()?;
            match &mut reserved.memory {
                Some(memory) => memory.merge(more),
                None => reserved.memory = Some(more),
            }
        }
        reserved.units.push(units);
        Some(())
    }
}

/// A complete body and its reservation in the budget, which is released on drop.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub(super) body: Bytes,
    _reserved: Reserved,
}

/// Receives a complete body.
///
/// # Errors
/// The stream broke, the body exceeds `max_bytes`, or the budget is exhausted.
pub(super) async fn receive(
    stream: &mut RecvStream,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<ReceivedBody, Box<str>> {
    let mut body = BytesMut::new();
    let mut reserved = Reserved::default();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|error| Box::<str>::from(error.to_string()))?;
        if body.len() + chunk.len() > max_bytes {
            return Err(format!("the body is larger than {max_bytes} bytes").into());
        }
        let reserved_more = budget.reserve(chunk.len(), &mut reserved).await;
        if reserved_more.is_none() {
            return Err("too many bytes are in flight".into());
        }
        // Returning the capacity lets the sender continue.
        let _ = stream.flow_control().release_capacity(chunk.len());
        body.extend_from_slice(&chunk);
    }
    Ok(ReceivedBody {
        body: body.freeze(),
        _reserved: reserved,
    })
}

/// Sends a complete body in chunks as the receiver's flow-control window allows.
///
/// # Errors
/// The stream was reset or its connection broke.
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
