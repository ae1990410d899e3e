//! Executors crash and start again under their ids as executors of another kind.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::rig::{BROKEN, HELD, NOT_RUN, Rig};

const EXECUTORS: usize = 8;
const ROUNDS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(2_500);
/// The first executor is down for 400 ms, and each further one for 70 ms longer, up to 1,310 ms.
const DOWN_MS: u64 = 400;
const DOWN_STEP_MS: u64 = 70;
const DOWN_STEPS: usize = 14;
const JOB_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &str, has_trouble: bool) -> i32 {
    let Some(mut rig) = Rig::start(record, 3, EXECUTORS, false) else {
        return NOT_RUN;
    };
    let executors = rig.executors.clone();
    let crashes = std::thread::spawn(move || {
        for round in 0..ROUNDS {
            let next_at = Instant::now() + INTERVAL;
            if has_trouble {
                let executor = &executors[round % EXECUTORS];
                let other = if executor.kind() == "a" { "b" } else { "a" };
                executor.crash();
                let further_ms = DOWN_STEP_MS * (round % DOWN_STEPS) as u64;
                sleep(Duration::from_millis(DOWN_MS + further_ms));
                executor.begin_life_as(other);
            }
            sleep(next_at.saturating_duration_since(Instant::now()));
        }
    });
    let body = r#"{"spec":"kind=a cpu=4000 mem=100 work=800","steps":[{"count":4,"cpu":4000,"memMb":100,"estimateMs":800,"requirements":"a"}]}"#;
    let mut number = 0;
    while !crashes.is_finished() {
        number += 1;
        rig.submit(
            &format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number),
            body,
        );
        sleep(JOB_INTERVAL);
    }
    let wrong: usize = rig
        .executors
        .iter()
        .map(|executor| executor.wrong_kind.lock().unwrap().len())
        .sum();
    rig.record.note(&format!(
        "{wrong} tasks that require the label a started on executors without it"
    ));
    match wrong {
        0 => HELD,
        _ => BROKEN,
    }
}
