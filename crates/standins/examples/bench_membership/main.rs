//! Measures the cost of idle membership, and the time until a publication is in force on all
//! daemons: `--daemon FILE [--counts 4,8] [--rest-s N] [--publications N]
//! [--outage-s N] [--first-port N] [--watch-seed]`.
//!
//! Run the bench with `--release` on an otherwise idle machine. The bench stops the daemons that
//! were started.

mod counted_log;
mod fleet;
mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use counted_log::CountedLog;
use dotterelhook_borders::http::JsonClient;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_borders::log::Log;
use dotterelhook_standins::hosts::HostListServer;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::server::Handler;
use dotterelhook_standins::server::bind;
use dotterelhook_standins::server::serve;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_types::ids::Offset;
use fleet::Addresses;
use fleet::Daemon;
use fleet::read_metric;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use usage::Usage;

const SETTLE_TIME: Duration = Duration::from_secs(15);
const POLL_PAUSE: Duration = Duration::from_millis(25);
const WAIT_MAX: Duration = Duration::from_secs(60);
const PUBLICATION_PAUSE: Duration = Duration::from_millis(200);

struct Bench {
    daemons: Vec<Daemon>,
    log: Arc<CountedLog>,
    client: HttpLog,
    published: u64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let program: PathBuf = arguments.required::<String>("--daemon")?.into();
    let counts: String = arguments.optional("--counts", "4,8,16,32,64,88".to_owned())?;
    let rest = Duration::from_secs(arguments.optional("--rest-s", 30)?);
    let publications: usize = arguments.optional("--publications", 20)?;
    let outage = Duration::from_secs(arguments.optional("--outage-s", 60)?);
    let first_port: u16 = arguments.optional("--first-port", 21_000)?;
    let is_watching = arguments.flag("--watch-seed");
    arguments.finish()?;
    let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = Addresses {
        first_port,
        log: local(first_port + 1_000),
        host_list: local(first_port + 1_001),
        silent_seed: is_watching.then(|| local(first_port + 1_002)),
    };
    let host_list = Arc::new(HostListServer::new(Duration::ZERO));
    tokio::spawn(serve(bind(addresses.host_list).await?, host_list));
    let log = Arc::new(CountedLog::new());
    tokio::spawn(serve(bind(addresses.log).await?, log.clone()));
    let directory = std::env::temp_dir().join(format!("bench-membership-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    for count in counts.split(',') {
        let mut bench = Bench {
            daemons: fleet::start(count.parse()?, &program, &directory, addresses)?,
            log: log.clone(),
            client: HttpLog::new(addresses.log, WAIT_MAX),
            published: log_end(addresses.log).await?,
        };
        tokio::time::sleep(SETTLE_TIME).await;
        bench.measure_rest(rest, addresses.silent_seed).await?;
        if publications > 0 {
            bench.measure_publications("as it is", publications).await?;
            bench.set_fault(Fault::Slow, 500);
            bench
                .measure_publications("log slow by 500 ms", publications)
                .await?;
            bench.set_fault(Fault::None, 0);
        }
        if !outage.is_zero() {
            bench.measure_outage(outage).await?;
        }
    }
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}

async fn log_end(log: SocketAddr) -> eyre::Result<u64> {
    let client = HttpLog::new(log, WAIT_MAX);
    let page = client
        .read(CONFIG_STREAM, Offset(0), 1, Duration::ZERO)
        .await?;
    Ok(page.end_offset.0)
}

impl Bench {
    fn set_fault(&self, fault: Fault, delay_ms: u64) {
        self.log.faults().set(FaultBody { fault, delay_ms });
    }

    /// Prints the resource usage per daemon during a window without publications.
    async fn measure_rest(
        &self,
        window: Duration,
        silent_seed: Option<SocketAddr>,
    ) -> eyre::Result<()> {
        let mut before = Vec::new();
        for daemon in &self.daemons {
            before.push(Usage::read(daemon).await);
        }
        let log_before = self.log.counts();
        let watched = count_seed_bytes(silent_seed, window).await?;
        let log_after = self.log.counts();
        let seconds = window.as_secs_f64();
        let mut cpu = Vec::new();
        let mut sent = Vec::new();
        let mut received = Vec::new();
        let mut resident = Vec::new();
        for (daemon, before) in self.daemons.iter().zip(before) {
            let after = Usage::read(daemon).await;
            cpu.push((after.cpu_s - before.cpu_s) * 100.0 / seconds);
            sent.push((after.sent_bytes - before.sent_bytes) / seconds);
            received.push((after.received_bytes - before.received_bytes) / seconds);
            resident.push(after.resident_mb);
        }
        println!("{} daemons at rest over {seconds} s:", self.daemons.len());
        print_spread("  membership sent, bytes/s", sent);
        print_spread("  membership received, bytes/s", received);
        print_spread("  processor, % of a core", cpu);
        print_spread("  resident, MB", resident);
        if let Some(bytes) = watched {
            println!("  received by a seed, bytes/s: {:.0}", bytes / seconds);
        }
        println!(
            "  log: {:.1} reads/s, {:.1} appends/s, {:.0} body bytes/s, {} calls held",
            (log_after.reads - log_before.reads) as f64 / seconds,
            (log_after.appends - log_before.appends) as f64 / seconds,
            (log_after.answer_bytes - log_before.answer_bytes) as f64 / seconds,
            log_after.open_calls,
        );
        Ok(())
    }

    /// Publishes sequentially and prints the times until a publication is in force on all daemons.
    async fn measure_publications(&mut self, name: &str, count: usize) -> eyre::Result<()> {
        let mut times_ms = Histogram::<u64>::new(3)?;
        for _ in 0..count {
            times_ms.record(self.publish().await?.as_millis() as u64)?;
            tokio::time::sleep(PUBLICATION_PAUSE).await;
        }
        println!(
            "{} daemons, {name}, {count} publications: in force everywhere after p50 {} ms, \
             p99 {} ms, longest {} ms",
            self.daemons.len(),
            times_ms.value_at_quantile(0.5),
            times_ms.value_at_quantile(0.99),
            times_ms.max(),
        );
        Ok(())
    }

    async fn measure_outage(&mut self, outage: Duration) -> eyre::Result<()> {
        self.set_fault(Fault::Down, 0);
        tokio::time::sleep(outage).await;
        self.set_fault(Fault::None, 0);
        let time = self.publish().await?;
        println!(
            "{} daemons, once after an outage of {} s: in force everywhere after {} ms",
            self.daemons.len(),
            outage.as_secs(),
            time.as_millis(),
        );
        Ok(())
    }

    /// Appends a publication and returns the time from the start of the append until every daemon
    /// has applied the publication.
    async fn publish(&mut self) -> eyre::Result<Duration> {
        let base = self.published.checked_sub(1);
        let payload = json!({
            "writer": format!("bench-{}", std::process::id()),
            "sequence": self.published + 1,
            "team": "booking",
            "path": "booking/quota",
            "base_offset": base,
            "body": { "batch": { "cpu_milli": 1_000 + self.published, "memory_mb": 1_000 } },
        });
        let started = Instant::now();
        let offset = self
            .client
            .append(CONFIG_STREAM, &[payload.to_string().into()])
            .await?;
        self.published = offset.0 + 1;
        let mut waits = JoinSet::new();
        for daemon in &self.daemons {
            let admin = daemon.admin.clone();
            waits.spawn(wait_until_applied(admin, self.published as f64, started));
        }
        while let Some(wait) = waits.join_next().await {
            wait??;
        }
        Ok(started.elapsed())
    }
}

async fn wait_until_applied(admin: JsonClient, end: f64, started: Instant) -> eyre::Result<()> {
    while read_metric(&admin, "config_next_offset")
        .await
        .unwrap_or(0.0)
        < end
    {
        if started.elapsed() > WAIT_MAX {
            eyre::bail!("a daemon did not apply the configuration up to offset {end} in time");
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(())
}

/// Counts the bytes that a seed address receives, including packet headers; the seed is never a
/// member.
async fn count_seed_bytes(
    address: Option<SocketAddr>,
    window: Duration,
) -> eyre::Result<Option<f64>> {
    let Some(address) = address else {
        tokio::time::sleep(window).await;
        return Ok(None);
    };
    let socket = UdpSocket::bind(address).await?;
    let mut buffer = vec![0; 65_536];
    let mut bytes = 0.0;
    let count = async {
        loop {
            if let Ok(length) = socket.recv(&mut buffer).await {
                bytes += length as f64 + 28.0;
            }
        }
    };
    let _ = tokio::time::timeout(window, count).await;
    Ok(Some(bytes))
}

fn print_spread(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.last().copied().unwrap_or(0.0);
    println!("{name}: mean {mean:.1}, most {most:.1}");
}
