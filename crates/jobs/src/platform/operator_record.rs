use crate::config::DeploymentConfig;
use crate::model::FailureDomainName;

/// The meaning of a record in the operators' partition.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// A version of the configuration.
    Config(Box<DeploymentConfig>),
    /// The evacuation of a failure domain is in force.
    EvacuationRequested(FailureDomainName),
    /// No evacuation of the failure domain is in force.
    EvacuationEnded(FailureDomainName),
    /// The record concerns other services.
    Other,
}
