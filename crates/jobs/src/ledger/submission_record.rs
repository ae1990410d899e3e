use bytes::Bytes;

use super::CodecError;
use super::codec::decode_layout;
use super::codec::encode_layout;
use crate::model::FailureDomainName;
use crate::model::Submission;

/// The layout without the failure domain of the entry host.
const BASE_LAYOUT: u8 = 1;
/// The layout that begins with the failure domain of the entry host.
const DOMAIN_LAYOUT: u8 = 2;

/// Encodes the record of a submission.
///
/// A submission without the failure domain of its entry host has the layout that former versions
/// write and read.
///
/// # Errors
/// The encoding does not support the type of a value.
pub fn encode_submission(submission: &Submission) -> Result<Bytes, CodecError> {
    match &submission.entry_domain {
        Some(domain) => encode_layout(DOMAIN_LAYOUT, &(domain, submission)),
        None => encode_layout(BASE_LAYOUT, submission),
    }
}

/// Decodes the record of a submission in any of its layouts.
///
/// # Errors
/// The bytes have another layout, are truncated, claim too large a size, or have trailing bytes.
pub fn decode_submission(frame: &[u8]) -> Result<Submission, CodecError> {
    if frame.first() != Some(&DOMAIN_LAYOUT) {
        return decode_layout(BASE_LAYOUT, frame);
    }
    let (domain, submission): (FailureDomainName, Submission) =
        decode_layout(DOMAIN_LAYOUT, frame)?;
    Ok(Submission {
        entry_domain: Some(domain),
        ..submission
    })
}
