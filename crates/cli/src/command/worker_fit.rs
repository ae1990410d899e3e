use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::hosts::HostList;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::HttpHostList;
use dotterelhook_borders::worker::HttpWorkers;
use dotterelhook_borders::worker::WorkerAgents;
use dotterelhook_state::config::ConfigDocument;
use dotterelhook_types::CallError;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::sizes::Resources;
use tokio::task::JoinSet;

use super::config_tree::ConfigTree;

/// What the workers of the host list have.
#[derive(Debug, Default)]
pub(super) struct WorkerFit {
    capacities: Vec<Resources>,
    unknown_count: usize,
}

impl WorkerFit {
    /// Asks all workers that the host list names.
    ///
    /// # Errors
    /// The host list can't be read; a worker that does not answer is only counted.
    pub(super) async fn read(address: SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        let hosts = HttpHostList::new(address, timeout).read().await;
        let hosts = hosts.map_err(|error| CallError::not_run(error.cause))?;
        let agents = HttpWorkers::new(timeout);
        let mut calls = JoinSet::new();
        let live = hosts.workers.into_iter();
        for worker in live.filter(|worker| worker.state == HostState::Live) {
            let agent = agents.agent(worker.address);
            calls.spawn(async move { agent.inventory().await });
        }
        let mut fit = Self::default();
        while let Some(answer) = calls.join_next().await {
            match answer {
                Ok(Ok(inventory)) => fit.capacities.push(inventory.capacity),
                _ => fit.unknown_count += 1,
            }
        }
        Ok(fit)
    }

    /// Adds a fault for each service and job that fits no worker.
    pub(super) fn check(&self, tree: &mut ConfigTree) {
        if self.unknown_count > 0 {
            eprintln!("{} workers did not answer", self.unknown_count);
        }
        let misfits: Vec<_> = tree
            .documents
            .iter()
            .filter_map(|(path, body)| match ConfigDocument::check(path, body) {
                Ok(document) => Some((path.clone(), self.fault(&document)?)),
                Err(_) => None,
            })
            .collect();
        for (path, fault) in misfits {
            tree.add_fault(&path, &fault);
        }
    }

    /// Returns what is wrong with a document's size; a worker that did not answer may fit it.
    fn fault(&self, document: &ConfigDocument) -> Option<FieldError> {
        let size = match document {
            ConfigDocument::Service(_, service) => service.size,
            ConfigDocument::Job(_, job) => job.size,
            ConfigDocument::Quota(_) => return None,
        };
        let fits = self.capacities.iter().any(|room| size.fits_in(room));
        if fits || self.unknown_count > 0 {
            return None;
        }
        let rule = format!("fits none of the {} workers", self.capacities.len());
        Some(FieldError::new("size", rule))
    }
}
