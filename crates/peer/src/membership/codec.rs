use std::error::Error;
use std::fmt;

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use rapidhash::v3::rapidhash_v3;
use serde::Serialize;
use serde::de::DeserializeOwned;

const PROTOCOL_VERSION: u8 = 2;
const FRAME_MAX_BYTES: usize = 16 << 20;
const CHECKSUM_BYTES: usize = 4;

const CODEC: Configuration<LittleEndian, Varint, Limit<FRAME_MAX_BYTES>> =
    bincode::config::standard().with_limit::<FRAME_MAX_BYTES>();

/// The reason why a frame can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame has no bytes.
    Empty,
    /// The frame has this protocol version, which differs from the own one.
    OtherVersion(u8),
    /// The frame is truncated, or its checksum does not match.
    Corrupt,
    /// The payload can't be encoded or decoded; holds the codec's error.
    Malformed(Box<str>),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the frame is empty"),
            Self::OtherVersion(version) => {
                write!(f, "protocol version {version}, expected {PROTOCOL_VERSION}")
            }
            Self::Corrupt => f.write_str("truncated or corrupt"),
            Self::Malformed(cause) => write!(f, "malformed: {cause}"),
        }
    }
}

impl FrameError {
    /// Returns the value of the metrics' `reason` label.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::OtherVersion(_) => "other-version",
            Self::Corrupt => "corrupt",
            Self::Malformed(_) => "malformed",
        }
    }
}

impl Error for FrameError {}

/// Encodes a message between daemons.
///
/// A frame is one byte of protocol version, a checksum of `CHECKSUM_BYTES`, then the payload.
///
/// # Errors
/// The message does not fit into a frame, or can't be serialized.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let payload = bincode::serde::encode_to_vec(message, CODEC)
        .map_err(|e| FrameError::Malformed(e.to_string().into()))?;
    let mut frame = Vec::with_capacity(payload.len() + 1 + CHECKSUM_BYTES);
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&checksum(&payload));
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Decodes a message between daemons; trailing bytes are an error.
///
/// # Errors
/// The frame is empty, of another protocol version, corrupt or malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (&version, rest) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != PROTOCOL_VERSION {
        return Err(FrameError::OtherVersion(version));
    }
    let (expected, payload) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(FrameError::Corrupt)?;
    if *expected != checksum(payload) {
        return Err(FrameError::Corrupt);
    }
    let (message, consumed) = bincode::serde::decode_from_slice(payload, CODEC)
        .map_err(|e| FrameError::Malformed(e.to_string().into()))?;
    if consumed != payload.len() {
        return Err(FrameError::Malformed("bytes left over".into()));
    }
    Ok(message)
}

fn checksum(payload: &[u8]) -> [u8; CHECKSUM_BYTES] {
    (rapidhash_v3(payload) as u32).to_le_bytes()
}
