use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::ServiceSettings;
use dotterelhook_types::ids::ServiceName;

/// The service that a request belongs to, with its settings at the time of routing.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The service's name.
    pub service: ServiceName,
    /// The service's settings in force.
    pub settings: ServiceSettings,
}

/// Returns the service with the longest prefix of the path, if any.
pub fn find_route(config: &ConfigState, path: &str) -> Option<Route> {
    let (service, settings) = config.route(path)?;
    Some(Route {
        service: service.clone(),
        settings: settings.clone(),
    })
}
