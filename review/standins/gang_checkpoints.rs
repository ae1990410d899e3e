//! The executor of one member of a gang that saves its work is emptied and taken away.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::rig::{BROKEN, HELD, NOT_RUN, Rig};

const JOB: &str = "5c0e7a2100000001";
const MEMBERS: usize = 4;
/// One of 16 leaves: a share of 0.0625, below the 0.065 of amakusa-tmpl.
const EXECUTORS: usize = 16;
const LEAVES_AFTER: Duration = Duration::from_millis(7_000);
/// `drainMs` and one second more.
const SERVES_FOR: Duration = Duration::from_millis(3_000);
const WATCH: Duration = Duration::from_secs(60);

pub fn run(record: &str, has_trouble: bool) -> i32 {
    let Some(mut rig) = Rig::start(record, 3, EXECUTORS, true) else {
        return NOT_RUN;
    };
    let body = format!(
        r#"{{"spec":"cpu=9000 mem=1000 work=14000 saves=1 gang={MEMBERS}","steps":[{{"count":{MEMBERS},"cpu":9000,"memMb":1000,"estimateMs":14000,"checkpointing":true,"gang":true}}]}}"#
    );
    if !rig.submit(JOB, &body) {
        return NOT_RUN;
    }
    let submitted_at = Instant::now();
    while rig.running(JOB) < MEMBERS {
        if submitted_at.elapsed() > Duration::from_secs(10) {
            return NOT_RUN;
        }
        sleep(Duration::from_millis(20));
    }
    if has_trouble {
        sleep(LEAVES_AFTER);
        let hit = rig
            .executors
            .iter()
            .find(|executor| !executor.running().is_empty());
        let Some(hit) = hit.cloned() else {
            return NOT_RUN;
        };
        hit.leave(SERVES_FOR);
    }
    let mut state = String::new();
    while submitted_at.elapsed() < WATCH && state != "completed" {
        sleep(Duration::from_millis(1_000));
        state = rig.state(JOB);
    }
    rig.record.note(&format!("client: {JOB} is {state}"));
    let mut is_broken = false;
    let starts = rig.gangs.started_with.lock().unwrap().clone();
    for (run, members) in starts {
        let mut values: Vec<&String> = members.values().collect();
        values.sort();
        values.dedup();
        if members.len() == MEMBERS && values.len() > 1 {
            is_broken = true;
            rig.record.note(&format!(
                "run {run}: the members do not carry the same lastCheckpoint: {members:?}"
            ));
        }
    }
    match is_broken {
        true => BROKEN,
        false => HELD,
    }
}
