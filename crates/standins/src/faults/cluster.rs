use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_borders::http::JsonClient;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use serde_json::json;

use super::daemon_process::DaemonProcess;
use crate::hosts::HostListServer;
use crate::hosts::register;
use crate::link::TcpLink;
use crate::log::LogServer;
use crate::server::FaultBody;
use crate::server::Handler;
use crate::server::bind;
use crate::server::serve;
use crate::target::TargetServer;
use crate::target::TargetSettings;
use crate::worker::WorkerModel;
use crate::worker::WorkerServer;

const LOG_RECORDS_MAX: usize = 1_000_000;
const HOST_LIST_LAG: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const HEALTH_ATTEMPTS_MAX: u32 = 200;
const HEALTH_POLL_PAUSE: Duration = Duration::from_millis(100);
const LEASE_MS: u64 = 3_000;
const WORKER_TIMEOUT_MS: u64 = 500;
const PORTS_PER_HOST: u16 = 20;
const PORTS_PER_DOMAIN: u16 = 200;

/// The size, binary and addresses of a cluster under test.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The path of the daemon's binary.
    pub binary: PathBuf,
    /// The directory for the settings and logs of the daemons; created if missing.
    pub directory: PathBuf,
    /// The loopback address that all processes listen on.
    pub ip: Ipv4Addr,
    /// The first port of the range that the cluster uses.
    pub first_port: u16,
    /// The failure domains, in the order of their port ranges.
    pub failure_domains: Vec<FailureDomain>,
    /// Hosts in each failure domain; each runs a front and a scheduler.
    pub hosts: u16,
    /// Targets in each failure domain.
    pub targets: u16,
    /// Workers in each failure domain.
    pub workers: u16,
    /// The capacity of each worker.
    pub worker_capacity: Resources,
}

/// A running cluster: the stand-ins run in this process, the daemons in child processes.
pub struct Cluster {
    /// The settings of the cluster.
    pub settings: ClusterSettings,
    /// The log's own address, which bypasses the links.
    pub log_address: SocketAddr,
    /// The fronts, grouped by failure domain.
    pub fronts: Vec<DaemonProcess>,
    /// The schedulers, grouped by failure domain.
    pub schedulers: Vec<DaemonProcess>,
    /// The links to the log, one per failure domain.
    pub links: Vec<Arc<TcpLink>>,
    /// The host list's entries of the targets.
    pub targets: Vec<TargetEntry>,
    /// The host list's entries of the workers.
    pub workers: Vec<WorkerEntry>,
    log: Arc<LogServer>,
    pub(super) target_servers: Vec<Arc<TargetServer>>,
    worker_servers: Vec<Arc<WorkerServer>>,
}

impl Cluster {
    /// Starts the stand-ins and daemons, and waits until every daemon answers health checks.
    ///
    /// # Errors
    /// An address is in use, the directory can't be written, or a daemon does not start in time.
    pub async fn start(settings: ClusterSettings) -> eyre::Result<Self> {
        fs::create_dir_all(&settings.directory)?;
        let log_address = SocketAddr::from((settings.ip, settings.first_port));
        let host_list = SocketAddr::from((settings.ip, settings.first_port + 1));
        let log = Arc::new(LogServer::new(LOG_RECORDS_MAX));
        tokio::spawn(serve(bind(log_address).await?, log.clone()));
        tokio::spawn(serve(
            bind(host_list).await?,
            Arc::new(HostListServer::new(HOST_LIST_LAG)),
        ));
        let mut cluster = Self {
            settings,
            log_address,
            fronts: Vec::new(),
            schedulers: Vec::new(),
            links: Vec::new(),
            targets: Vec::new(),
            workers: Vec::new(),
            log,
            target_servers: Vec::new(),
            worker_servers: Vec::new(),
        };
        for index in 0..cluster.settings.failure_domains.len() {
            cluster.start_domain(index as u16, host_list).await?;
        }
        let entries = HostSnapshot {
            targets: cluster.targets.clone(),
            workers: cluster.workers.clone(),
        };
        register(host_list, &entries).await?;
        for daemon in cluster.fronts.iter().chain(&cluster.schedulers) {
            wait_until_healthy(daemon.admin).await?;
        }
        Ok(cluster)
    }

    /// Injects a fault into the log, or clears the fault.
    pub fn set_log_fault(&self, fault: FaultBody) {
        self.log.faults().set(fault);
    }

    /// Injects a fault into a target, or clears the fault.
    pub fn set_target_fault(&self, index: usize, fault: FaultBody) {
        self.target_servers[index].faults().set(fault);
    }

    /// Injects a fault into a worker's agent, or clears the fault; the index wraps around.
    pub fn set_worker_fault(&self, index: usize, fault: FaultBody) {
        self.worker_servers[index % self.worker_servers.len()]
            .faults()
            .set(fault);
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.settings.ip, port))
    }

    async fn start_domain(&mut self, index: u16, host_list: SocketAddr) -> eyre::Result<()> {
        let base_port = self.settings.first_port + 10 + index * PORTS_PER_DOMAIN;
        let failure_domain = self.settings.failure_domains[usize::from(index)].clone();
        let link_address = self.address(base_port);
        let link = TcpLink::start(bind(link_address).await?, self.log_address);
        self.links.push(link);
        self.start_targets(&failure_domain, base_port + 10).await?;
        self.start_workers(&failure_domain, base_port + 60).await?;
        for host in 0..self.settings.hosts {
            let port = base_port + 110 + host * PORTS_PER_HOST;
            let name = format!("{failure_domain}-{host}");
            let platform = json!({
                "log_address": link_address, "host_list_address": host_list,
                "host_poll_ms": 300, "call_timeout_ms": 1_000
            });
            for (role, port) in [("front", port), ("scheduler", port + 10)] {
                let daemon = self.start_daemon(&name, &failure_domain, role, port, &platform)?;
                match role {
                    "front" => self.fronts.push(daemon),
                    _ => self.schedulers.push(daemon),
                }
            }
        }
        Ok(())
    }

    async fn start_targets(&mut self, domain: &FailureDomain, first_port: u16) -> eyre::Result<()> {
        let settings = TargetSettings {
            slots: 8,
            connections_max: 64,
            service_time: SERVICE_TIME,
        };
        for index in 0..self.settings.targets {
            let entry = TargetEntry {
                target: format!("{domain}-t{index}").parse()?,
                service: "booking".parse()?,
                address: self.address(first_port + index),
                failure_domain: domain.clone(),
                worker: format!("{domain}-w{index}").parse()?,
                slots: settings.slots,
                connections_max: settings.connections_max,
                state: HostState::Live,
            };
            let server = Arc::new(TargetServer::new(settings));
            tokio::spawn(Arc::clone(&server).serve(bind(entry.address).await?));
            self.target_servers.push(server);
            self.targets.push(entry);
        }
        Ok(())
    }

    async fn start_workers(&mut self, domain: &FailureDomain, first_port: u16) -> eyre::Result<()> {
        for index in 0..self.settings.workers {
            let entry = WorkerEntry {
                worker: format!("{domain}-w{index}").parse()?,
                address: self.address(first_port + index),
                failure_domain: domain.clone(),
                rack: format!("{domain}-r0").parse()?,
                state: HostState::Live,
            };
            let capacity = self.settings.worker_capacity;
            let model = WorkerModel::new(entry.worker.clone(), Incarnation(1), capacity);
            let server = Arc::new(WorkerServer::new(model));
            tokio::spawn(serve(bind(entry.address).await?, server.clone()));
            self.worker_servers.push(server);
            self.workers.push(entry);
        }
        Ok(())
    }

    fn start_daemon(
        &self,
        host: &str,
        failure_domain: &FailureDomain,
        role: &str,
        port: u16,
        platform: &serde_json::Value,
    ) -> eyre::Result<DaemonProcess> {
        let (admin, api) = (self.address(port), self.address(port + 2));
        let mut settings = json!({
            "host": host,
            "failure_domain": failure_domain,
            "admin_address": admin,
            "platform": platform,
            "peers": {
                "listen_address": self.address(port + 1),
                "seed_addresses": self.seed_addresses()
            },
            "stop": { "unready_ms": 300 }
        });
        settings[role] = json!({ "listen_address": api });
        if role == "scheduler" {
            settings[role]["lease_ms"] = LEASE_MS.into();
            settings[role]["worker_timeout_ms"] = WORKER_TIMEOUT_MS.into();
        }
        let file = self.settings.directory.join(format!("{host}-{role}.jsonc"));
        fs::write(&file, settings.to_string())?;
        let mut daemon = DaemonProcess::new(self.settings.binary.clone(), file, admin, api);
        daemon.start()?;
        Ok(daemon)
    }

    /// Returns the peer address of the first scheduler of each failure domain.
    ///
    /// The front of a domain's first host has port 110 of the domain's range. Its scheduler follows
    /// 10 ports later, and the scheduler's peer port is the next one.
    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let domains = 0..self.settings.failure_domains.len() as u16;
        let base_port = self.settings.first_port + 10;
        domains
            .map(|index| self.address(base_port + index * PORTS_PER_DOMAIN + 121))
            .collect()
    }
}

async fn wait_until_healthy(admin: SocketAddr) -> eyre::Result<()> {
    let client = JsonClient::new(admin, CALL_TIMEOUT);
    for _ in 0..HEALTH_ATTEMPTS_MAX {
        if client
            .get("/healthz")
            .await
            .is_ok_and(|answer| answer.status.is_success())
        {
            return Ok(());
        }
        tokio::time::sleep(HEALTH_POLL_PAUSE).await;
    }
    Err(eyre::eyre!(
        "the daemon at {admin} did not pass its health check in time"
    ))
}
