use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::hosts::HostList;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::HttpHostList;
use dotterelhook_borders::worker::HttpWorkers;
use dotterelhook_borders::worker::WorkerAgents;
use dotterelhook_state::config::ConfigDocument;
use dotterelhook_types::CallError;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::sizes::Resources;
use tokio::task::JoinSet;

use super::config_tree::ConfigTree;
use crate::config_check::PlatformFacts;

/// The capacities of the live workers in the host list.
#[derive(Debug, Default)]
pub(super) struct WorkerCapacities {
    by_worker: Vec<Resources>,
    by_domain: BTreeMap<FailureDomain, Resources>,
    hosts: HostSnapshot,
    unanswered_count: usize,
}

impl WorkerCapacities {
    /// Queries the inventory of all live workers in the host list.
    ///
    /// # Errors
    /// The host list can't be read. A worker that does not answer is only counted.
    pub(super) async fn fetch(address: SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        let hosts = HttpHostList::new(address, timeout).read().await;
        let hosts = hosts.map_err(|error| CallError::not_run(error.cause))?;
        let agents = HttpWorkers::new(timeout);
        let mut calls = JoinSet::new();
        let workers = hosts.workers.iter();
        for worker in workers.filter(|worker| worker.state == HostState::Live) {
            let agent = agents.agent(worker.address);
            let domain = worker.failure_domain.clone();
            calls.spawn(async move { (domain, agent.inventory().await) });
        }
        let mut capacities = Self {
            hosts,
            ..Self::default()
        };
        while let Some(answer) = calls.join_next().await {
            match answer {
                Ok((domain, Ok(inventory))) => {
                    capacities.by_worker.push(inventory.capacity);
                    let sum = capacities.by_domain.entry(domain).or_default();
                    *sum = sum.saturating_add(&inventory.capacity);
                }
                _ => capacities.unanswered_count += 1,
            }
        }
        Ok(capacities)
    }

    /// Returns what the host list and the workers report. Without the answers of all workers, the
    /// capacities of failure domains are unknown.
    pub(super) fn to_facts(&self) -> PlatformFacts {
        let is_complete = self.unanswered_count == 0;
        let capacities = is_complete.then(|| self.by_domain.clone());
        PlatformFacts::new(&self.hosts, capacities)
    }

    /// Adds an error for each service and job that fits no worker.
    pub(super) fn check_sizes(&self, tree: &mut ConfigTree) {
        if self.unanswered_count > 0 {
            eprintln!("{} workers did not answer", self.unanswered_count);
        }
        let misfits: Vec<_> = tree
            .documents
            .iter()
            .filter_map(|(path, body)| match ConfigDocument::check(path, body) {
                Ok(document) => Some((path.clone(), self.size_error(&document)?)),
                Err(_) => None,
            })
            .collect();
        for (path, error) in misfits {
            tree.add_field_error(&path, &error);
        }
    }

    /// Returns an error if a document's size fits no worker.
    ///
    /// If a worker did not answer, there is no error: the size may fit that worker.
    fn size_error(&self, document: &ConfigDocument) -> Option<FieldError> {
        let size = match document {
            ConfigDocument::Service(_, service) => service.size,
            ConfigDocument::Job(_, job) => job.size,
            ConfigDocument::Quota(_) | ConfigDocument::Evacuation(..) => return None,
        };
        let fits = self.by_worker.iter().any(|capacity| size.fits_in(capacity));
        if fits || self.unanswered_count > 0 {
            return None;
        }
        let rule = format!("fits none of the {} workers", self.by_worker.len());
        Some(FieldError::new("size", rule))
    }
}
