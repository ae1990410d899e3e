//! A gang that has lost two executors must start again while quick tasks run on all executors.
mod executor;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use executor::Work;
use world::World;
use world::has_trouble;

const BUSY: &str = "00aa11bb22cc33dd";
const JOB: &str = "5c0e7a21d94b36f8";
const EXECUTORS: usize = 8;
/// The bound `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let mut world = World::start(&[("a", 16_000); EXECUTORS], 3);
    world.start_hosts(3);
    let steps = "[{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":12000,\"gang\":true}]";
    let work = Work {
        duration_ms: 12_000,
        cpu: 2_000,
        gang: Some(2),
        ..Work::default()
    };
    world.submit(JOB, steps, work);
    let first = format!("{JOB}.0.0.0");
    for _ in 0..2 {
        if !world.wait(Duration::from_secs(10), || world.runs_on(&first).is_some()) {
            world.end(2, "the gang did not start");
        }
        sleep(Duration::from_millis(1_500));
        if has_trouble()
            && let Some(executor) = world.runs_on(&first)
        {
            executor.crash(Duration::from_millis(1_500));
        }
    }
    // A timed job with a quick task on each executor, five times a second.
    let steps = format!(
        "[{{\"count\":{EXECUTORS},\"cpu\":200,\"memMb\":64,\"estimateMs\":450,\"antiAffinity\":1}}]"
    );
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis();
    let times = format!(",\"repeatCount\":260,\"firstRunMs\":{now_ms},\"intervalMs\":200");
    world.submit_timed(
        BUSY,
        &steps,
        &times,
        Work {
            duration_ms: 450,
            cpu: 200,
            ..Work::default()
        },
    );
    // That was the last job of the clients.
    let traffic_end = Instant::now();
    let mut idle_since: Option<Instant> = None;
    while traffic_end.elapsed() < Duration::from_secs(45) {
        sleep(Duration::from_millis(100));
        let has_run = world.runs_on(&first).is_some();
        idle_since = if has_run {
            None
        } else {
            Some(idle_since.unwrap_or_else(Instant::now))
        };
        let idle = idle_since.map_or(Duration::ZERO, |since| since.elapsed());
        if world.state(JOB) == "completed" {
            world.end(0, "the gang has run and the job is completed");
        }
        if traffic_end.elapsed() > FINISH && idle > Duration::from_secs(30) {
            let used = world.used_share();
            world.end(1, &format!("the job has had nothing running for {idle:?}; in use: {used:.3} of the processors"));
        }
    }
    world.end(2, "the gang has neither waited nor run");
}
