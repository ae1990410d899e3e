//! Runs stand-ins for the workers' agents of one failure domain, each on its own port.
//!
//! `--first ADDRESS --count N --failure-domain NAME --host-list ADDRESS
//! [--cpu-milli N] [--memory-mb N] [--accelerators N] [--rack-size N]`

use std::net::SocketAddr;
use std::sync::Arc;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::clock::SystemClock;
use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_standins::hosts::register;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_standins::worker::WorkerModel;
use dotterelhook_standins::worker::WorkerServer;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Accelerators;
use dotterelhook_types::sizes::Resources;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let first: SocketAddr = arguments.required("--first")?;
    let count: u16 = arguments.required("--count")?;
    let failure_domain: FailureDomain = arguments.required("--failure-domain")?;
    let host_list: SocketAddr = arguments.required("--host-list")?;
    let cpu_milli = arguments.optional("--cpu-milli", 32_000)?;
    let memory_mb = arguments.optional("--memory-mb", 125_000)?;
    let accelerators = arguments.optional("--accelerators", 0)?;
    let rack_size: u16 = arguments.optional("--rack-size", 8)?;
    arguments.finish()?;

    let mut capacity = Resources::new(cpu_milli, memory_mb);
    capacity.accelerators = Accelerators(accelerators);
    let incarnation = Incarnation(SystemClock::new().unix_ms());
    let mut entries = HostSnapshot::default();
    for index in 0..count {
        let mut address = first;
        address.set_port(first.port() + index);
        let worker = format!("{failure_domain}-w{index}").parse()?;
        let entry = WorkerEntry {
            worker,
            address,
            failure_domain: failure_domain.clone(),
            rack: format!("{failure_domain}-r{}", index / rack_size.max(1)).parse()?,
            state: HostState::Live,
        };
        let model = WorkerModel::new(entry.worker.clone(), incarnation, capacity);
        let listener = bind(address).await?;
        tokio::spawn(serve(listener, Arc::new(WorkerServer::new(model))));
        entries.workers.push(entry);
    }
    register(host_list, &entries).await?;
    std::future::pending().await
}
