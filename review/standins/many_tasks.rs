//! One large recurring job comes beside small ones.

use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::rig::{BROKEN, HELD, NOT_RUN, Rig};

const TRAFFIC: Duration = Duration::from_secs(40);
const LARGE_JOB_AT: Duration = Duration::from_secs(5);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job must have had nothing running.
const IDLE: Duration = Duration::from_secs(3);
const LARGE_JOB: &str = "00000000000000ff";

pub fn run(record: &str, has_trouble: bool) -> i32 {
    let Some(mut rig) = Rig::start(record, 3, 12, false) else {
        return NOT_RUN;
    };
    let started_at = Instant::now();
    let mut accepted = Vec::new();
    let mut is_large_sent = !has_trouble;
    for number in 0.. {
        if started_at.elapsed() >= TRAFFIC {
            break;
        }
        if !is_large_sent && started_at.elapsed() >= LARGE_JOB_AT {
            is_large_sent = true;
            let now_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis();
            let body = format!(
                r#"{{"spec":"cpu=5 mem=16 work=20000","steps":[{{"count":4000,"cpu":5,"memMb":16,"estimateMs":20000}}],"repeatCount":4,"firstRunMs":{now_ms},"intervalMs":1000}}"#
            );
            if !rig.submit(LARGE_JOB, &body) {
                rig.record.note("the large job is not accepted");
                return HELD;
            }
        }
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let body = r#"{"spec":"cpu=500 mem=100 work=500","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":500}]}"#;
        if rig.submit(&id, body) {
            accepted.push(id);
        }
        sleep(Duration::from_millis(400));
    }
    rig.record.note("the traffic ends");
    sleep(FINISH - IDLE);
    let mut idle: Vec<String> = accepted.clone();
    let watched_since = Instant::now();
    let mut used_most: f64 = 0.0;
    while watched_since.elapsed() < IDLE {
        idle.retain(|id| rig.running(id) == 0);
        used_most = used_most.max(rig.used_share());
        sleep(Duration::from_millis(20));
    }
    let mut lost = 0;
    for id in &accepted {
        let state = rig.state(id);
        let is_lost = state != "completed" && idle.contains(id) && used_most < 0.25;
        lost += usize::from(is_lost);
        if state != "completed" {
            rig.record.note(&format!(
                "client: {id} is {state}; nothing of it ran for 3 s: {}",
                idle.contains(id)
            ));
        }
        if lost >= 5 {
            break;
        }
    }
    rig.record.note(&format!(
        "{} small jobs accepted; at least {lost} of them not completed {} s after the end of the traffic, with nothing running for 3 s while at most {:.0}% of the processors were in use",
        accepted.len(),
        FINISH.as_secs(),
        100.0 * used_most
    ));
    match lost {
        0 => HELD,
        _ => BROKEN,
    }
}
