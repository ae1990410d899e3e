//! Executors that start again with a time of day that has jumped back must get work.
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
    let jump = |ahead_ms: i64| {
        for executor in &world.executors[14..] {
            world.record.add(format!(
                "the time of day of {} is {ahead_ms} ms ahead",
                executor.id
            ));
            *executor.clock_ahead_ms.lock().expect("no panic") = ahead_ms;
        }
    };
    let crash = |down_ms| {
        for executor in &world.executors[14..] {
            executor.crash(Duration::from_millis(down_ms));
            world
                .record
                .add(format!("{} is born at {}", executor.id, executor.born()));
        }
    };
    if has_trouble() {
        jump(2_400);
        sleep(Duration::from_millis(4_000));
        crash(1_000);
        sleep(Duration::from_millis(2_000));
        jump(0);
        sleep(Duration::from_millis(200));
        crash(600);
        sleep(Duration::from_millis(600));
    }
    sleep(Duration::from_secs(5));
    let steps =
        "[{\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":1000,\"requirements\":\"b\"}]";
    world.submit(
        JOB,
        steps,
        Work {
            duration_ms: 1_000,
            cpu: 2_000,
            ..Work::default()
        },
    );
    for _ in 0..80 {
        sleep(Duration::from_millis(500));
        if world.state(JOB) == "completed" {
            world.end(0, "the job is completed");
        }
    }
    world.end(
        1,
        "the job has had nothing running for 40 s, while two idle executors can run it",
    );
}
