use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::FailureDomainName;

/// The failure domains with an evacuation in force, each with the time, since boot, at which this
/// process first saw the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    requested_at: BTreeMap<FailureDomainName, Duration>,
}

impl Evacuations {
    /// Puts an evacuation in force. An evacuation that is in force keeps its time.
    pub fn request(&mut self, domain: FailureDomainName, at: Duration) {
        self.requested_at.entry(domain).or_insert(at);
    }

    /// Ends the evacuation of a failure domain, if one is in force.
    pub fn end(&mut self, domain: &FailureDomainName) {
        self.requested_at.remove(domain);
    }

    /// Returns whether the evacuation of a failure domain is in force.
    pub fn contains(&self, domain: &FailureDomainName) -> bool {
        self.requested_at.contains_key(domain)
    }

    /// Returns when the evacuation of a failure domain was requested, if one is in force.
    pub fn requested_at(&self, domain: &FailureDomainName) -> Option<Duration> {
        self.requested_at.get(domain).copied()
    }

    /// Returns whether no evacuation is in force.
    pub fn is_empty(&self) -> bool {
        self.requested_at.is_empty()
    }

    /// Returns the failure domains with the time of each request, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomainName, Duration)> {
        self.requested_at.iter().map(|(domain, at)| (domain, *at))
    }
}
