use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::TeamName;
use super::name::is_valid_name;

const PATH_SEGMENTS_MAX: usize = 8;

/// The path of a configuration document; its first segment is the owning team.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ConfigPath(Box<str>);

impl ConfigPath {
    /// Returns the path as text, with segments separated by slashes.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the segments of the path in order.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0.split('/')
    }

    /// Returns the team that owns the path, which is its first segment.
    pub fn team(&self) -> TeamName {
        let first = self.0.split('/').next().unwrap_or_default();
        first
            .parse()
            .expect("a valid path starts with a valid name")
    }
}

/// A parse error: the text is not a valid configuration path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigPathError {
    text: Box<str>,
}

impl fmt::Display for ConfigPathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a path: 2 to {PATH_SEGMENTS_MAX} names separated by '/'",
            self.text
        )
    }
}

impl Error for ConfigPathError {}

impl FromStr for ConfigPath {
    type Err = ConfigPathError;

    fn from_str(text: &str) -> Result<Self, ConfigPathError> {
        let segment_count = text.split('/').count();
        if (2..=PATH_SEGMENTS_MAX).contains(&segment_count) && text.split('/').all(is_valid_name) {
            Ok(Self(text.into()))
        } else {
            Err(ConfigPathError { text: text.into() })
        }
    }
}

impl TryFrom<Box<str>> for ConfigPath {
    type Error = ConfigPathError;

    fn try_from(text: Box<str>) -> Result<Self, ConfigPathError> {
        text.parse()
    }
}

impl From<ConfigPath> for Box<str> {
    fn from(path: ConfigPath) -> Self {
        path.0
    }
}

impl fmt::Display for ConfigPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for ConfigPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
