//! Executors go down and up by turns under tasks that last.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::rig::{BROKEN, HELD, NOT_RUN, Rig};

const EXECUTORS: usize = 8;
/// The time between the crashes of two executors: each one crashes every 16 s.
const INTERVAL: Duration = Duration::from_millis(2_000);
const DOWN: Duration = Duration::from_millis(1_000);
const CRASHES: usize = 44;
const JOBS: [&str; 2] = ["5c0e7a2100000001", "5c0e7a2100000002"];

pub fn run(record: &str, has_trouble: bool) -> i32 {
    let Some(mut rig) = Rig::start(record, 3, EXECUTORS, true) else {
        return NOT_RUN;
    };
    let body = format!(
        r#"{{"spec":"cpu=2000 mem=1000 work=0","steps":[{{"count":{EXECUTORS},"cpu":2000,"memMb":1000,"estimateMs":1000,"longRunning":true,"antiAffinity":1,"mayMiss":1}}]}}"#
    );
    for id in JOBS {
        if !rig.submit(id, &body) {
            return NOT_RUN;
        }
    }
    sleep(Duration::from_secs(3));
    for number in 0..CRASHES {
        let next_at = Instant::now() + INTERVAL;
        if has_trouble {
            let executor = rig.executors[number % EXECUTORS].clone();
            executor.crash();
            sleep(DOWN);
            executor.begin_life();
        }
        sleep(next_at.saturating_duration_since(Instant::now()));
        let states: Vec<String> = JOBS.map(|id| rig.state(id)).to_vec();
        let running: Vec<usize> = JOBS.map(|id| rig.running(id)).to_vec();
        rig.record.note(&format!(
            "client: the states are {states:?}; tasks that run: {running:?}"
        ));
        if states
            .iter()
            .any(|state| state == "failed" || state == "cancelled")
        {
            rig.record.note("a job that nobody cancelled, and of which no run ended as failed, is shown as failed");
            return BROKEN;
        }
    }
    HELD
}
