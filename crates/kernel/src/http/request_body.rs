use std::error::Error;
use std::fmt;
use std::ops::Deref;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::ClientBody;
use crate::memory::MemoryShortage;
use crate::memory::Reservation;

/// The first size of the buffer for a body of unknown length.
const UNKNOWN_LENGTH_START_BYTES: usize = 4 << 10;
/// How long the rest of a refused body is read and dropped. A connection that closes before would be
/// reset, and the client would lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a body was not received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than permitted.
    TooLarge {
        /// The permitted size.
        max_bytes: usize,
    },
    /// The connection broke.
    BrokenOff(Box<str>),
    /// The body did not arrive in time.
    Late,
    /// The process has no room for the body.
    NoMemory(MemoryShortage),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { max_bytes } => {
                write!(f, "the body is larger than {max_bytes} bytes")
            }
            Self::BrokenOff(cause) => write!(f, "the body broke off: {cause}"),
            Self::Late => write!(f, "the body did not arrive in time"),
            Self::NoMemory(shortage) => shortage.fmt(f),
        }
    }
}

impl Error for BodyError {}

/// A complete body with its reservation, which covers the copies of the body too.
#[derive(Debug)]
pub struct RequestBody {
    bytes: BytesMut,
    reservation: Reservation,
}

impl RequestBody {
    /// Returns the bytes, which keep the reservation.
    pub fn into_bytes(self) -> Bytes {
        self.reservation.attach_to(self.bytes)
    }

    /// Drops the body and returns its reservation.
    pub fn into_reservation(self) -> Reservation {
        self.reservation
    }
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The size limits of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The largest permitted size.
    pub max_bytes: usize,
    /// How many times the size the request may take while it is served.
    pub copies: usize,
}

/// Receives a whole body by `deadline`, into one buffer whatever the sizes of its pieces are.
///
/// The room for all copies is reserved before the bytes arrive, so that a request that has none is refused
/// at once and one that was received is served.
///
/// # Errors
/// The body is too large, broke off or is late, or there is no room. The rest of it is dropped.
pub async fn receive_body(
    mut body: ClientBody,
    limits: BodyLimits,
    deadline: Instant,
) -> Result<RequestBody, BodyError> {
    let received = timeout_at(deadline, receive(&mut body, limits)).await;
    let received = received.unwrap_or(Err(BodyError::Late));
    if received.is_err() {
        tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
    }
    received
}

async fn receive(body: &mut ClientBody, limits: BodyLimits) -> Result<RequestBody, BodyError> {
    let BodyLimits { max_bytes, copies } = limits;
    let too_large = BodyError::TooLarge { max_bytes };
    let announced_bytes = body.size_hint().exact().map(|length| length as usize);
    if announced_bytes.is_some_and(|length| length > max_bytes) {
        return Err(too_large);
    }
    let first_bytes = announced_bytes.unwrap_or(UNKNOWN_LENGTH_START_BYTES.min(max_bytes));
    let reserved = body.reserve(first_bytes * copies, 0).await;
    let mut received = RequestBody {
        reservation: reserved.map_err(BodyError::NoMemory)?,
        bytes: BytesMut::with_capacity(first_bytes),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::BrokenOff(error.to_string().into()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let length_bytes = received.bytes.len() + piece.len();
        if length_bytes > max_bytes {
            return Err(too_large);
        }
        let capacity_bytes = received.bytes.capacity();
        if length_bytes > capacity_bytes {
            let wanted_bytes = (2 * capacity_bytes).clamp(length_bytes, max_bytes);
            let held_bytes = received.reservation.bytes();
            let more = body.reserve((wanted_bytes - capacity_bytes) * copies, held_bytes);
            let more = more.await.map_err(BodyError::NoMemory)?;
            received.reservation.merge(more);
            let additional_bytes = wanted_bytes - received.bytes.len();
            received.bytes.reserve(additional_bytes);
        }
        received.bytes.extend_from_slice(&piece);
    }
    Ok(received)
}

async fn discard(mut body: ClientBody) {
    while let Some(Ok(_)) = body.frame().await {}
}
