use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hyper::http::uri::Authority;

use crate::model::QueueConfig;
use crate::model::QueueName;
use crate::model::ServiceId;

/// The address at which clients reach a queue, and the configuration of that queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// The host name that clients call, without a port.
    pub host: Box<str>,
    /// The prefix of all paths of the queue.
    pub path_prefix: Box<str>,
    /// The longest time that a call may take before it is answered.
    pub timeout: Duration,
    /// The configuration of the queue.
    pub queue: Arc<QueueConfig>,
}

/// The configuration of a service, which is a pool of executors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Whether the executors refuse tasks that exceed their free capacity.
    pub refuses_overload: bool,
    /// Whether the hosts are powered off until they are needed.
    pub is_standby: bool,
}

/// One version of the deployment's configuration, indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    version: u64,
    body_max_bytes: usize,
    /// Routes by host, longest prefix first.
    routes: HashMap<Box<str>, Vec<QueueRoute>>,
    queues: HashMap<QueueName, Arc<QueueConfig>>,
    services: HashMap<ServiceId, ServiceConfig>,
}

impl DeploymentConfig {
    /// Builds the lookup tables of one version.
    pub fn new(
        version: u64,
        body_max_bytes: usize,
        routes: Vec<QueueRoute>,
        services: HashMap<ServiceId, ServiceConfig>,
    ) -> Self {
        let mut config = Self {
            version,
            body_max_bytes,
            services,
            ..Self::default()
        };
        for route in routes {
            let queue = Arc::clone(&route.queue);
            config.queues.insert(queue.name.clone(), queue);
            let host_routes = config.routes.entry(route.host.clone()).or_default();
            host_routes.push(route);
        }
        for host_routes in config.routes.values_mut() {
            host_routes.sort_by_key(|route| usize::MAX - route.path_prefix.len());
        }
        config
    }

    /// Returns the version number, which increases with every published configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limit for the body of a client's request, in bytes.
    pub fn body_max_bytes(&self) -> usize {
        self.body_max_bytes
    }

    /// Returns the route with the longest matching prefix, and the rest of the path after that
    /// prefix. A port in `host` is ignored.
    pub fn route<'path>(&self, host: &str, path: &'path str) -> Option<(&QueueRoute, &'path str)> {
        let authority = Authority::from_str(host).ok();
        let host = authority.as_ref().map_or(host, Authority::host);
        self.routes.get(host)?.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.path_prefix)?;
            Some((route, rest))
        })
    }

    /// Returns the configuration of a queue, or `None` if the queue is not configured.
    pub fn queue(&self, name: &QueueName) -> Option<&Arc<QueueConfig>> {
        self.queues.get(name)
    }

    /// Returns the configuration of a service, or `None` if the service is not configured.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceConfig> {
        self.services.get(id)
    }
}
