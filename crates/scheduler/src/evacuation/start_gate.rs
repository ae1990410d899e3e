use std::sync::Arc;
use std::time::Duration;

use dotterelhook_peer::config::ConfigView;
use dotterelhook_state::config::Evacuation;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::FailureDomain;

use super::StartHold;

/// Decides whether attempts may start on the workers of a failure domain, by the operators' records as
/// this process has read them.
///
/// It is asked when attempts are placed, and again whenever a start is sent.
pub(crate) struct StartGate {
    config: Arc<dyn ConfigView>,
    failure_domain: FailureDomain,
    path: ConfigPath,
    view_age_max: Option<Duration>,
}

impl StartGate {
    /// Creates the gate of a failure domain. With `view_age_max`, nothing starts while the newest
    /// complete read of the records is older.
    pub(crate) fn new(
        config: Arc<dyn ConfigView>,
        failure_domain: FailureDomain,
        view_age_max: Option<Duration>,
    ) -> Self {
        Self {
            config,
            path: Evacuation::path(&failure_domain),
            failure_domain,
            view_age_max,
        }
    }

    /// Returns why nothing may start now; `None` if starts are allowed.
    pub(crate) fn hold(&self) -> Option<StartHold> {
        if let Some((offset, evacuation)) = self.config.current().evacuation_at(&self.path) {
            return Some(StartHold::Evacuated {
                failure_domain: self.failure_domain.clone(),
                offset,
                requested_at_unix_ms: evacuation.requested_at_unix_ms,
            });
        }
        let age_max_ms = self.view_age_max?.as_millis() as u64;
        let age_ms = self.view_age_ms();
        let is_recent = age_ms.is_some_and(|age_ms| age_ms <= age_max_ms);
        (!is_recent).then_some(StartHold::OutdatedView { age_ms })
    }

    /// Returns the age of the newest complete read of the operators' records, in milliseconds.
    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        self.config.complete_read_age_ms()
    }
}
