//! Runs stand-ins for the targets of one service in one failure domain, each on its own port.
//!
//! `--first ADDRESS --count N --service NAME --failure-domain NAME --host-list ADDRESS
//! [--slots N] [--connections-max N] [--service-time-ms N]`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_standins::hosts::register;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::ServiceName;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let first: SocketAddr = arguments.required("--first")?;
    let count: u16 = arguments.required("--count")?;
    let service: ServiceName = arguments.required("--service")?;
    let failure_domain: FailureDomain = arguments.required("--failure-domain")?;
    let host_list: SocketAddr = arguments.required("--host-list")?;
    let settings = TargetSettings {
        slots: arguments.optional("--slots", 8)?,
        connections_max: arguments.optional("--connections-max", 64)?,
        service_time: Duration::from_millis(arguments.optional("--service-time-ms", 5)?),
    };
    arguments.finish()?;

    let mut entries = HostSnapshot::default();
    for index in 0..count {
        let mut address = first;
        address.set_port(first.port() + index);
        entries.targets.push(TargetEntry {
            target: format!("{failure_domain}-{service}-{index}").parse()?,
            service: service.clone(),
            address,
            failure_domain: failure_domain.clone(),
            worker: format!("{failure_domain}-w{index}").parse()?,
            slots: settings.slots,
            connections_max: settings.connections_max,
            state: HostState::Live,
        });
        let listener = bind(address).await?;
        tokio::spawn(Arc::new(TargetServer::new(settings)).serve(listener));
    }
    register(host_list, &entries).await?;
    std::future::pending().await
}
