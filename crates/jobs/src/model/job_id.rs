use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

const HEX_DIGITS: usize = 16;

/// The error for a text that is not a job id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobIdError;

impl fmt::Display for JobIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a job's id has {HEX_DIGITS} hexadecimal digits")
    }
}

impl Error for JobIdError {}

/// The id of a job: 16 hexadecimal digits, chosen by the client.
///
/// A job keeps its id over retries of the submission and over all occurrences.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId([u8; HEX_DIGITS]);

impl JobId {
    /// Returns the id in the client's spelling; the case of the digits is kept.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let digits: [u8; HEX_DIGITS] = text.as_bytes().try_into().map_err(|_| JobIdError)?;
        if digits.iter().all(u8::is_ascii_hexdigit) {
            Ok(Self(digits))
        } else {
            Err(JobIdError)
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
