//! A gang that arrives after a job that can never be done must run.
mod executor;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use executor::Work;
use world::World;
use world::has_trouble;

const HOPELESS: &str = "0badc0de0badc0de";
const JOB: &str = "5c0e7a21d94b36f8";
/// The bound `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(14);

/// Submits the usual quick jobs for a time.
fn play_traffic(world: &World, number: &mut u64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        *number += 1;
        let steps = "[{\"count\":2,\"cpu\":500,\"memMb\":64,\"estimateMs\":200}]";
        let work = Work {
            duration_ms: 200,
            cpu: 500,
            ..Work::default()
        };
        world.submit(&format!("{:016x}", *number), steps, work);
        sleep(Duration::from_millis(130));
    }
}

fn main() {
    let mut world = World::start(&[("a", 16_000); 8], 3);
    world.start_hosts(3);
    let mut number = 0;
    play_traffic(&world, &mut number, Duration::from_secs(3));
    if has_trouble() {
        let steps =
            "[{\"count\":8,\"cpu\":2000,\"memMb\":256,\"estimateMs\":300,\"antiAffinity\":1}]";
        let work = Work {
            duration_ms: 300,
            cpu: 2_000,
            fails: true,
            ..Work::default()
        };
        world.submit(HOPELESS, steps, work);
    }
    play_traffic(&world, &mut number, Duration::from_secs(4));
    if has_trouble() && world.state(HOPELESS) != "failed" {
        world.end(2, "the hopeless job is not shown as failed");
    }
    let steps = "[{\"count\":14,\"cpu\":4000,\"memMb\":256,\"estimateMs\":1000,\"gang\":true}]";
    world.submit(
        JOB,
        steps,
        Work {
            duration_ms: 1_000,
            cpu: 4_000,
            gang: Some(14),
            ..Work::default()
        },
    );
    play_traffic(&world, &mut number, Duration::from_secs(3));
    let traffic_end = Instant::now();
    while traffic_end.elapsed() < FINISH + Duration::from_secs(20) {
        sleep(Duration::from_millis(500));
        if world.state(JOB) == "completed" {
            world.end(0, "the gang has run and the job is completed");
        }
    }
    if !world.record.lines(&format!("start {JOB}")).is_empty() {
        world.end(2, "the gang has started");
    }
    let used = world.used_share();
    world.end(
        1,
        &format!(
            "the job has had nothing running since it came; in use: {used:.3} of the processors"
        ),
    );
}
