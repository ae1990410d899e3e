use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::ServiceSettings;
use dotterelhook_types::ids::ServiceName;

/// The service that a request belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The service.
    pub service: ServiceName,
    /// Its settings in force.
    pub settings: ServiceSettings,
}

/// Finds the service with the longest prefix of the path.
pub fn find_route(config: &ConfigState, path: &str) -> Option<Route> {
    let (service, settings) = config.route(path)?;
    Some(Route {
        service: service.clone(),
        settings: settings.clone(),
    })
}
