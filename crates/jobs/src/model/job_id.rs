use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

const DIGITS: usize = 16;

/// A text that is not a job's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobIdError;

impl fmt::Display for JobIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a job's id has {DIGITS} hexadecimal digits")
    }
}

impl Error for JobIdError {}

/// A job's id, chosen by its client; the same job keeps it over all repeats.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId([u8; DIGITS]);

impl JobId {
    /// Returns the id as its client wrote it.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let digits: [u8; DIGITS] = text.as_bytes().try_into().map_err(|_| JobIdError)?;
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
