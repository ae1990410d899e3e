use dotterelhook_types::document::FieldError;
use dotterelhook_types::document::decode_value;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TeamName;
use serde_json::Value;

use super::BatchJob;
use super::Quota;
use super::ServiceSettings;
use super::batch_job::RawBatchJob;
use super::service::RawService;

/// What a path declares; the path alone decides it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// `TEAM/services/NAME`
    Service(TeamName, ServiceName),
    /// `TEAM/jobs/NAME`
    Job(TeamName, JobName),
    /// `TEAM/quota`
    Quota(TeamName),
}

impl TryFrom<&ConfigPath> for DocumentKind {
    type Error = FieldError;

    fn try_from(path: &ConfigPath) -> Result<Self, FieldError> {
        let segments: Vec<&str> = path.segments().collect();
        let team = path.team();
        match segments[1..] {
            ["services", name] => Ok(Self::Service(team, parse_segment(name)?)),
            ["jobs", name] => Ok(Self::Job(team, parse_segment(name)?)),
            ["quota"] => Ok(Self::Quota(team)),
            _ => {
                let rule = "a path is TEAM/services/NAME, TEAM/jobs/NAME or TEAM/quota";
                Err(FieldError::new("path", rule))
            }
        }
    }
}

fn parse_segment<T: std::str::FromStr>(segment: &str) -> Result<T, FieldError>
where
    T::Err: std::fmt::Display,
{
    segment
        .parse()
        .map_err(|e: T::Err| FieldError::new("path", e.to_string()))
}

/// A checked document of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigDocument {
    /// A latency-critical service.
    Service(ServiceName, ServiceSettings),
    /// A batch job.
    Job(JobName, BatchJob),
    /// A team's quota.
    Quota(Quota),
}

impl ConfigDocument {
    /// Checks the body of the document at the given path.
    ///
    /// # Errors
    /// Returns the field at fault and the rule that it breaks.
    pub fn check(path: &ConfigPath, body: &Value) -> Result<Self, FieldError> {
        match DocumentKind::try_from(path)? {
            DocumentKind::Service(_, name) => {
                let raw: RawService = decode_value(body)?;
                Ok(Self::Service(name, raw.try_into()?))
            }
            DocumentKind::Job(_, name) => {
                let raw: RawBatchJob = decode_value(body)?;
                Ok(Self::Job(name, raw.try_into()?))
            }
            DocumentKind::Quota(_) => Ok(Self::Quota(decode_value(body)?)),
        }
    }
}
