use std::error::Error;
use std::fmt;

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first byte of each record, which distinguishes this layout from later ones.
const LAYOUT_VERSION: u8 = 1;

/// The largest size that a record may claim, above that of any frame between hosts. Without a limit, a
/// corrupt length would allocate all memory before the missing bytes are noticed.
const RECORD_MAX_BYTES: usize = 16 << 20;

const CODEC: Configuration<LittleEndian, Varint, Limit<RECORD_MAX_BYTES>> =
    bincode::config::standard().with_limit::<RECORD_MAX_BYTES>();

/// The reason why a record can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError(Box<str>);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for CodecError {}

/// Encodes a record of the store or a message between hosts: one byte for the layout, then bincode.
///
/// # Errors
/// The encoding does not support the type of the value.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    encode_layout(LAYOUT_VERSION, value)
}

/// Encodes a record whose first byte is the given layout.
pub(super) fn encode_layout<T: Serialize>(layout: u8, value: &T) -> Result<Bytes, CodecError> {
    let mut frame = vec![layout];
    bincode::serde::encode_into_std_write(value, &mut frame, CODEC)
        .map_err(|error| CodecError(error.to_string().into()))?;
    Ok(frame.into())
}

/// Decodes a record of the store or a message between hosts.
///
/// # Errors
/// The bytes have another layout, are truncated, claim too large a size, or have trailing bytes.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, CodecError> {
    decode_layout(LAYOUT_VERSION, frame)
}

/// Decodes a record whose first byte must be the given layout.
pub(super) fn decode_layout<T: DeserializeOwned>(
    layout: u8,
    frame: &[u8],
) -> Result<T, CodecError> {
    let Some((_, body)) = frame.split_first().filter(|(first, _)| **first == layout) else {
        return Err(CodecError("the record has an unknown layout".into()));
    };
    let (value, used) = bincode::serde::decode_from_slice(body, CODEC)
        .map_err(|error| CodecError(error.to_string().into()))?;
    if used == body.len() {
        Ok(value)
    } else {
        Err(CodecError("bytes follow the record".into()))
    }
}
