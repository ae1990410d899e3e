//! Injects faults into a cluster of real daemons under load, and checks the counts of the
//! stand-ins afterwards.
//!
//! `--seed N [--rounds N] [--binary PATH] [--directory PATH]`; exits with 1 if a promise broke.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use dotterelhook_borders::http::JsonClient;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_standins::faults::BatchLoad;
use dotterelhook_standins::faults::Cluster;
use dotterelhook_standins::faults::ClusterSettings;
use dotterelhook_standins::faults::FaultSchedule;
use dotterelhook_standins::faults::Finding;
use dotterelhook_standins::faults::Operators;
use dotterelhook_standins::faults::RequestLoad;
use dotterelhook_standins::faults::check_batch;
use dotterelhook_standins::faults::check_operators;
use dotterelhook_standins::faults::check_requests;
use dotterelhook_standins::server::Arguments;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::sizes::Resources;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

const FIRST_PORT: u16 = 28_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
const RUN_PAUSE: Duration = Duration::from_millis(1_000);
const RUNS_PER_DOMAIN: usize = 40;
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
const OFFSET_POLL_PAUSE: Duration = Duration::from_millis(200);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let seed: u64 = arguments.optional("--seed", 1)?;
    let rounds: u64 = arguments.optional("--rounds", 2)?;
    let binary = arguments.optional("--binary", "target/debug/dotterelhookd".to_owned())?;
    let default_directory = std::env::temp_dir().join(format!("fault-run-{}", std::process::id()));
    let default_directory = default_directory.display().to_string();
    let directory = arguments.optional("--directory", default_directory)?;
    arguments.finish()?;
    let mut cluster = Cluster::start(settings(binary.into(), directory.into())?).await?;
    publish_settings(&cluster).await;
    let findings = run(&mut cluster, seed, rounds).await?;
    findings.iter().for_each(|finding| println!("{finding}"));
    if !findings.iter().all(Finding::holds) {
        println!(
            "seed {seed} broke a promise; logs are in {}",
            cluster.settings.directory.display()
        );
        drop(cluster);
        exit(1);
    }
    println!("seed {seed}: every promise held");
    Ok(())
}

fn settings(binary: PathBuf, directory: PathBuf) -> eyre::Result<ClusterSettings> {
    Ok(ClusterSettings {
        binary,
        directory,
        ip: Ipv4Addr::LOCALHOST,
        first_port: FIRST_PORT,
        failure_domains: vec!["laguna".parse()?, "pampanga".parse()?],
        hosts: 2,
        targets: 6,
        workers: 4,
        worker_capacity: Resources::new(8_000, 32_000),
    })
}

async fn publish_settings(cluster: &Cluster) {
    let log = || HttpLog::new(cluster.log_address, CALL_TIMEOUT);
    let service = Operators::new(log(), "booking/services/booking".parse().expect("a path"));
    service.publish("setup-1", 1, None, service_body()).await;
    let job = Operators::new(log(), "booking/jobs/manifests".parse().expect("a path"));
    job.publish("setup-2", 1, None, job_body()).await;
}

fn service_body() -> Value {
    json!({
        "path_prefix": "/booking/", "timeout_ms": 3000, "replicas": 6,
        "size": { "cpu_milli": 1000, "memory_mb": 1000 },
        "objective": { "latency_ms": 200, "good_percent": 99.0 }
    })
}

fn job_body() -> Value {
    json!({
        "tasks": 12, "size": { "cpu_milli": 2000, "memory_mb": 4000 },
        "run_time_ms": 800, "deadline_ms": 600000, "attempts_max": 20, "checkpointable": true
    })
}

fn quota_body(round: u64) -> Value {
    json!({ "batch": { "cpu_milli": 1_000_000 + round, "memory_mb": 1_000_000 } })
}

/// Runs load and faults together, waits for the open runs, and returns the findings.
async fn run(cluster: &mut Cluster, seed: u64, rounds: u64) -> eyre::Result<Vec<Finding>> {
    let (stop, is_over) = watch::channel(false);
    let requests = RequestLoad::default();
    let fronts: Vec<SocketAddr> = cluster.fronts.iter().map(|front| front.api).collect();
    let load = requests.clone();
    let request_task = tokio::spawn({
        let is_over = is_over.clone();
        async move { load.run(fronts, REQUEST_PAUSE, is_over).await }
    });
    let batches = batch_loads(cluster);
    let submitters: Vec<_> = batches
        .iter()
        .cloned()
        .map(|batch| tokio::spawn(async move { batch.submit(RUN_PAUSE).await }))
        .collect();
    let path = "booking/quota".parse().expect("a path");
    let operators = Operators::new(HttpLog::new(cluster.log_address, CALL_TIMEOUT), path);
    let race = tokio::spawn({
        let is_over = is_over.clone();
        async move {
            operators.race(quota_body, is_over).await;
            operators
        }
    });
    let watcher = tokio::spawn(poll_offsets(cluster.fronts[0].admin, is_over));

    for round in 0..rounds {
        let schedule = FaultSchedule::generate(seed + round);
        schedule.steps.iter().for_each(|step| println!("{step}"));
        schedule.run(cluster).await?;
    }
    stop.send_replace(true);
    request_task.await?;
    for submitter in submitters {
        submitter.await?;
    }
    let operators = race.await?;
    let mut findings = check_requests(cluster, &requests.outcomes());
    for batch in &batches {
        let summaries = batch.wait_until_done(SETTLE_TIMEOUT).await;
        findings.extend(check_batch(cluster, &batch.runs, &summaries).await);
    }
    if let Some(state) = operators.state().await {
        findings.extend(check_operators(&state, &watcher.await?));
    }
    Ok(findings)
}

fn batch_loads(cluster: &Cluster) -> Vec<BatchLoad> {
    let domains = cluster.settings.failure_domains.iter();
    let hosts = usize::from(cluster.settings.hosts);
    let loads = domains
        .zip(cluster.schedulers.chunks(hosts))
        .map(|(domain, schedulers)| BatchLoad {
            apis: schedulers.iter().map(|scheduler| scheduler.api).collect(),
            admins: schedulers.iter().map(|scheduler| scheduler.admin).collect(),
            runs: (0..RUNS_PER_DOMAIN)
                .map(|index| format!("{domain}-{index}").into())
                .collect(),
            job: "booking/manifests".into(),
        });
    loads.collect()
}

/// Polls the configuration offset of one daemon until the signal; a restart must not lower the
/// offset.
async fn poll_offsets(admin: SocketAddr, mut is_over: watch::Receiver<bool>) -> Vec<Offset> {
    let client = JsonClient::new(admin, CALL_TIMEOUT);
    let mut offsets = Vec::new();
    loop {
        if let Ok(answer) = client.get("/members").await
            && let Ok(members) = answer.decode::<Vec<Value>>()
        {
            let own = members
                .iter()
                .find(|m| m["heartbeat"]["admin_address"] == json!(admin));
            let offset = own.and_then(|member| member["heartbeat"]["config_offset"].as_u64());
            offsets.extend(offset.map(Offset).filter(|offset| *offset > Offset(0)));
        }
        tokio::select! {
            _ = is_over.wait_for(|is_over| *is_over) => return offsets,
            () = tokio::time::sleep(OFFSET_POLL_PAUSE) => {}
        }
    }
}
