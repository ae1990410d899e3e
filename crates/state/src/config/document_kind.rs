use dotterelhook_types::document::FieldError;
use dotterelhook_types::document::decode_value;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TeamName;
use serde_json::Value;

use super::BatchJob;
use super::Evacuation;
use super::Quota;
use super::ServiceSettings;
use super::batch_job::RawBatchJob;
use super::service::RawService;

/// The first segment of the paths that belong to the operators of the system.
const OPERATORS: &str = "operators";

/// The kind of document that a path holds, derived from the path alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// A service, at `TEAM/services/NAME`.
    Service(TeamName, ServiceName),
    /// A batch job, at `TEAM/jobs/NAME`.
    Job(TeamName, JobName),
    /// A team's quota, at `TEAM/quota`.
    Quota(TeamName),
    /// The evacuation of a failure domain, at `operators/evacuations/DOMAIN`.
    Evacuation(FailureDomain),
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
            ["evacuations", domain] if team.as_str() == OPERATORS => {
                Ok(Self::Evacuation(parse_segment(domain)?))
            }
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

/// A validated configuration document.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigDocument {
    /// Name and settings of a latency-critical service.
    Service(ServiceName, ServiceSettings),
    /// Name and declaration of a batch job.
    Job(JobName, BatchJob),
    /// Quota of the team that owns the path.
    Quota(Quota),
    /// The evacuation of a failure domain.
    Evacuation(FailureDomain, Evacuation),
}

impl ConfigDocument {
    /// Decodes and validates the body of the document at the given path.
    ///
    /// # Errors
    /// Returns the offending field and the rule that it violates.
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
            DocumentKind::Evacuation(domain) => Ok(Self::Evacuation(domain, decode_value(body)?)),
        }
    }
}
