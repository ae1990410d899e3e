//! Measures the time from the submission of an urgent run to the start of its task. Real daemons
//! run on workers that are full of low-priority tasks; the log is otherwise idle.
//!
//! `[--runs N] [--binary PATH]`

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::clock::SystemClock;
use dotterelhook_borders::http::JsonClient;
use dotterelhook_borders::log::HttpLog;
use dotterelhook_standins::faults::BatchLoad;
use dotterelhook_standins::faults::Cluster;
use dotterelhook_standins::faults::ClusterSettings;
use dotterelhook_standins::faults::Operators;
use dotterelhook_standins::server::Arguments;
use dotterelhook_standins::worker::AttemptInterval;
use dotterelhook_types::sizes::Resources;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

const FIRST_PORT: u16 = 29_000;
const WORKERS: u16 = 8;
const TASKS_PER_WORKER: u16 = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_PAUSE: Duration = Duration::from_millis(50);
const RUN_PAUSE: Duration = Duration::from_millis(300);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut arguments = Arguments::from_env();
    let runs: usize = arguments.optional("--runs", 20)?;
    let binary = arguments.optional("--binary", "target/release/dotterelhookd".to_owned())?;
    arguments.finish()?;
    let directory = std::env::temp_dir().join(format!("urgent-start-{}", std::process::id()));
    let cluster = Cluster::start(ClusterSettings {
        binary: binary.into(),
        directory,
        ip: Ipv4Addr::LOCALHOST,
        first_port: FIRST_PORT,
        failure_domains: vec!["laguna".parse()?],
        hosts: 2,
        targets: 1,
        workers: WORKERS,
        worker_capacity: Resources::new(8_000, 32_000),
    })
    .await?;
    publish(
        &cluster,
        "fill",
        job(u32::from(WORKERS * TASKS_PER_WORKER), 600_000, "low"),
    )
    .await;
    publish(&cluster, "urgent", job(1, 200, "urgent")).await;
    submit(&cluster, "fill", vec!["fill".into()]).await;
    wait_until_full(&cluster).await;

    let mut waits_ms = Histogram::<u64>::new(3)?;
    for index in 0..runs {
        let run: Box<str> = format!("urgent-{index}").into();
        let submitted_at_ms = SystemClock::new().unix_ms();
        submit(&cluster, "urgent", vec![run.clone()]).await;
        let started_at_ms = wait_for_start(&cluster, &run).await;
        waits_ms.record(started_at_ms.saturating_sub(submitted_at_ms).max(1))?;
        tokio::time::sleep(RUN_PAUSE).await;
    }
    println!(
        "{runs} urgent starts on full workers: p50 {} ms, p90 {} ms, most {} ms",
        waits_ms.value_at_quantile(0.5),
        waits_ms.value_at_quantile(0.9),
        waits_ms.max()
    );
    Ok(())
}

fn job(tasks: u32, run_time_ms: u64, priority: &str) -> Value {
    json!({
        "tasks": tasks, "size": { "cpu_milli": 2000, "memory_mb": 4000 },
        "run_time_ms": run_time_ms, "deadline_ms": 3_600_000, "priority": priority,
        "checkpointable": true
    })
}

async fn publish(cluster: &Cluster, name: &str, body: Value) {
    let log = HttpLog::new(cluster.log_address, CALL_TIMEOUT);
    let path = format!("desk/jobs/{name}").parse().expect("a path");
    Operators::new(log, path).publish(name, 1, None, body).await;
}

async fn submit(cluster: &Cluster, job: &str, runs: Vec<Box<str>>) {
    let load = BatchLoad {
        apis: cluster.schedulers.iter().map(|s| s.api).collect(),
        admins: cluster.schedulers.iter().map(|s| s.admin).collect(),
        runs,
        job: format!("desk/{job}").into(),
    };
    load.submit(Duration::ZERO).await;
}

async fn wait_until_full(cluster: &Cluster) {
    loop {
        let mut running = 0;
        for worker in &cluster.workers {
            let intervals = read_intervals(worker.address).await;
            running += intervals.iter().filter(|i| i.to_ms.is_none()).count();
        }
        if running == usize::from(WORKERS * TASKS_PER_WORKER) {
            return;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn wait_for_start(cluster: &Cluster, run: &str) -> u64 {
    loop {
        for worker in &cluster.workers {
            let intervals = read_intervals(worker.address).await;
            let own = intervals
                .iter()
                .find(|i| i.attempt.task.run.as_str() == run);
            if let Some(interval) = own {
                return interval.from_ms;
            }
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn read_intervals(worker: SocketAddr) -> Vec<AttemptInterval> {
    let client = JsonClient::new(worker, CALL_TIMEOUT);
    let answer = client
        .get("/intervals")
        .await
        .expect("the stand-in answers");
    answer.decode().expect("intervals")
}
