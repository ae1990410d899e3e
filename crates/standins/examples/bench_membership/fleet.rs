use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use serde_json::json;

const FAILURE_DOMAINS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The addresses of the processes of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) first_port: u16,
    pub(crate) log: SocketAddr,
    pub(crate) host_list: SocketAddr,
    pub(crate) silent_seed: Option<SocketAddr>,
}

/// A daemon process, which is killed on drop.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) admin: JsonClient,
}

impl Daemon {
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }
}

/// Reads the value of a metric; `None` if the daemon does not answer or lacks the metric.
pub(crate) async fn read_metric(admin: &JsonClient, name: &str) -> Option<f64> {
    let answer = admin.get("/metrics").await.ok()?.check_status().ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let line = text.lines().find(|line| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with(' '))
    });
    line?.rsplit(' ').next()?.parse().ok()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts `count` daemons: hosts with a front and a scheduler each, in three failure domains.
pub(crate) fn start(
    count: usize,
    program: &Path,
    directory: &Path,
    addresses: Addresses,
) -> eyre::Result<Vec<Daemon>> {
    let daemons = (0..count).map(|index| start_one(index, count, program, directory, addresses));
    daemons.collect()
}

fn start_one(
    index: usize,
    count: usize,
    program: &Path,
    directory: &Path,
    addresses: Addresses,
) -> eyre::Result<Daemon> {
    let port = |index: usize, offset: u16| -> SocketAddr {
        (
            [127, 0, 0, 1],
            addresses.first_port + index as u16 * 3 + offset,
        )
            .into()
    };
    let host = index / 2;
    let domain = host % FAILURE_DOMAINS;
    let seeds = (0..count.min(2 * FAILURE_DOMAINS))
        .step_by(2)
        .map(|i| port(i, 1));
    let seeds: Vec<SocketAddr> = seeds.chain(addresses.silent_seed).collect();
    let (role, service) = if index.is_multiple_of(2) {
        ("front", json!({ "listen_address": port(index, 2) }))
    } else {
        ("scheduler", json!({ "listen_address": port(index, 2) }))
    };
    let settings = json!({
        "host": format!("domain-{domain}-host-{host:02}"),
        "failure_domain": format!("domain-{domain}"),
        "admin_address": port(index, 0),
        "platform": { "log_address": addresses.log, "host_list_address": addresses.host_list },
        "peers": { "listen_address": port(index, 1), "seed_addresses": seeds },
        role: service,
        "log": { "level": "error" },
    });
    let file: PathBuf = directory.join(format!("daemon-{index}.jsonc"));
    fs::write(&file, settings.to_string())?;
    let child = Command::new(program)
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()?;
    Ok(Daemon {
        child,
        admin: JsonClient::new(port(index, 0), CALL_TIMEOUT),
    })
}
