//! A gang of which one executor crashes: all members of the next run must carry the same checkpoint.
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
    let mut world = World::start(&[("a", 4_000); 8], 3);
    world.start_hosts(3);
    let steps = "[{\"count\":2,\"cpu\":3000,\"memMb\":256,\"estimateMs\":8000,\"gang\":true,\"checkpointing\":true}]";
    let work = Work { duration_ms: 8_000, cpu: 3_000, checkpoints: true, gang: Some(2), ..Work::default() };
    world.submit(JOB, steps, work);
    let first = format!("{JOB}.0.0.0");
    if !world.wait(Duration::from_secs(10), || world.runs_on(&first).is_some()) {
        world.end(2, "the gang did not start");
    }
    sleep(Duration::from_millis(2_700));
    if has_trouble() && let Some(executor) = world.runs_on(&first) {
        executor.crash(Duration::from_millis(1_500));
    }
    let mut state = String::new();
    for _ in 0..60 {
        sleep(Duration::from_millis(500));
        state = world.state(JOB);
        if state == "completed" {
            break;
        }
    }
    // run, checkpoint of each start
    let starts = world.record.lines(&format!("start {JOB}"));
    let field = |line: &str, name: &str| {
        let rest = line.split_once(name).map_or("", |(_, rest)| rest);
        rest.split_whitespace().next().unwrap_or_default().to_owned()
    };
    for (_, line) in &starts {
        for (_, other) in &starts {
            let is_same_run = field(line, "run ") == field(other, "run ");
            if is_same_run && field(line, "lastCheckpoint ") != field(other, "lastCheckpoint ") {
                world.end(1, &format!("members of one gang start with different checkpoints: {line} / {other}"));
            }
        }
    }
    if state != "completed" {
        world.end(1, "the job is not completed");
    }
    world.end(0, "all members of each run carried the same checkpoint");
}
