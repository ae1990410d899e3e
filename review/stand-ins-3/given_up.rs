//! A task whose executors crash five times, for no fault of its own, must still be done.
mod executor;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::thread::sleep;
use std::time::Duration;

use executor::Work;
use world::World;
use world::has_trouble;

const JOB: &str = "5c0e7a21d94b36f8";

fn main() {
    let mut executors = vec![("a", 16_000); 14];
    executors.extend([("b", 16_000); 2]);
    let mut world = World::start(&executors, 3);
    world.start_hosts(3);
    let steps = "[{\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":6000,\"requirements\":\"b\"}]";
    let work = Work { duration_ms: 6_000, cpu: 2_000, ..Work::default() };
    world.submit(JOB, steps, work);
    let first = format!("{JOB}.0.0.0");
    for _ in 0..if has_trouble() { 5 } else { 0 } {
        world.wait(Duration::from_secs(10), || world.runs_on(&first).is_some());
        sleep(Duration::from_millis(1_500));
        for executor in &world.executors[14..] {
            executor.crash(Duration::from_millis(1_000));
        }
        sleep(Duration::from_millis(1_000));
    }
    for _ in 0..60 {
        sleep(Duration::from_millis(500));
        match &*world.state(JOB) {
            "completed" => world.end(0, "the job is completed"),
            "failed" => world.end(1, "the job is shown as failed, and none of its runs ended failed"),
            _ => {}
        }
    }
    world.end(1, "the job is not completed");
}
