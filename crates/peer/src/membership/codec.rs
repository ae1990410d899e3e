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

/// A peer's frame that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame holds no byte.
    Empty,
    /// The frame is of another protocol version.
    OtherVersion(u8),
    /// The frame was truncated or changed on its way.
    Corrupt,
    /// The frame's content can't be decoded.
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
    /// Returns the reason as a metric's label.
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

/// Encodes a message between daemons: one byte of version, a checksum, then the content.
///
/// # Errors
/// The message is larger than a frame may be.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let content = bincode::serde::encode_to_vec(message, CODEC)
        .map_err(|e| FrameError::Malformed(e.to_string().into()))?;
    let mut frame = Vec::with_capacity(content.len() + 1 + CHECKSUM_BYTES);
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&checksum(&content));
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Decodes a message between daemons; bytes that are left over are an error.
///
/// # Errors
/// The frame is empty, of another version, truncated, changed or malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (&version, rest) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != PROTOCOL_VERSION {
        return Err(FrameError::OtherVersion(version));
    }
    let (expected, content) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(FrameError::Corrupt)?;
    if *expected != checksum(content) {
        return Err(FrameError::Corrupt);
    }
    let (message, used) = bincode::serde::decode_from_slice(content, CODEC)
        .map_err(|e| FrameError::Malformed(e.to_string().into()))?;
    if used != content.len() {
        return Err(FrameError::Malformed("bytes left over".into()));
    }
    Ok(message)
}

fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    (rapidhash_v3(content) as u32).to_le_bytes()
}
