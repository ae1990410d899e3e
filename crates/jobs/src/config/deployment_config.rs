use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::model::QueueName;
use crate::model::QueueTerms;
use crate::model::ServiceId;

/// Where a queue takes its clients' calls.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// The host name that clients call, without a port.
    pub host: Box<str>,
    /// What the paths of the queue begin with.
    pub path_prefix: Box<str>,
    /// The longest time to answer a call.
    pub timeout: Duration,
    /// What the queue grants.
    pub terms: Arc<QueueTerms>,
}

/// What is configured of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Whether its executors refuse what does not fit.
    pub refuses_overload: bool,
    /// Whether its hosts are switched off until they are needed.
    pub is_standby: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    version: u64,
    body_max_bytes: usize,
    /// Routes by host, longest prefix first.
    routes: HashMap<Box<str>, Vec<QueueRoute>>,
    queues: HashMap<QueueName, Arc<QueueTerms>>,
    services: HashMap<ServiceId, ServiceConfig>,
}

impl DeploymentConfig {
    /// Builds the tables of one version.
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
            let terms = Arc::clone(&route.terms);
            config.queues.insert(terms.name.clone(), terms);
            let of_host = config.routes.entry(route.host.clone()).or_default();
            of_host.push(route);
        }
        for of_host in config.routes.values_mut() {
            of_host.sort_by_key(|route| usize::MAX - route.path_prefix.len());
        }
        config
    }

    /// Returns the version; later ones are larger.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the largest body that a client may send.
    pub fn body_max_bytes(&self) -> usize {
        self.body_max_bytes
    }

    /// Finds the queue of a call and the rest of its path after the prefix.
    pub fn route<'path>(&self, host: &str, path: &'path str) -> Option<(&QueueRoute, &'path str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes.get(host)?.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.path_prefix)?;
            Some((route, rest))
        })
    }

    /// Returns what a queue grants, if it is configured.
    pub fn queue(&self, name: &QueueName) -> Option<&Arc<QueueTerms>> {
        self.queues.get(name)
    }

    /// Returns what is configured of a pool.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceConfig> {
        self.services.get(id)
    }
}
