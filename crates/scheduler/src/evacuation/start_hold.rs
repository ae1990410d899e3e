use std::fmt;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;

/// Why nothing may start on the workers of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StartHold {
    /// An evacuation is in force.
    Evacuated {
        /// The evacuated failure domain.
        failure_domain: FailureDomain,
        /// The offset of the record that requested the evacuation.
        offset: Offset,
        /// The time of the request by the operator's clock, as Unix time in milliseconds.
        requested_at_unix_ms: u64,
    },
    /// The operators' records were not read recently enough to exclude an evacuation.
    OutdatedView {
        /// The age of the view in milliseconds; `None` if the records were never read to their end.
        age_ms: Option<u64>,
    },
}

impl fmt::Display for StartHold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Evacuated {
                failure_domain,
                offset,
                requested_at_unix_ms,
            } => write!(
                f,
                "failure domain {failure_domain} is evacuated since {requested_at_unix_ms} (Unix \
                 time in ms), record {offset}"
            ),
            Self::OutdatedView { age_ms: None } => {
                f.write_str("the operators' records were not read to their end yet")
            }
            Self::OutdatedView {
                age_ms: Some(age_ms),
            } => write!(
                f,
                "the operators' records were last read {age_ms} ms ago, so an evacuation may be \
                 unknown here"
            ),
        }
    }
}
