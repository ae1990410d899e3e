//! The cases of the review. Each returns what broke the rule, if anything did.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::ZONES;
use crate::executor::Executor;
use crate::executor::Treatment;
use crate::record::Record;

type Verdict = Result<Option<String>, String>;

const NOT_READY: &str = "the hosts were not ready in time";
const NOT_ACCEPTED: &str = "the job was not accepted";

fn start_executors(deployment: &Deployment, kinds: &[&str]) -> Vec<Arc<Executor>> {
    let start = |(index, kind): (usize, &&str)| {
        let (id, zone) = (format!("i-{index}"), ZONES[index % ZONES.len()]);
        Executor::start(
            &id,
            zone,
            &[kind, "r1-0"],
            16_000,
            &deployment.store,
            &deployment.record,
        )
    };
    kinds.iter().enumerate().map(start).collect()
}

fn wait_for_start(record: &Record, task: &str, run: u32, limit: Duration) -> Option<String> {
    let deadline = std::time::Instant::now() + limit;
    while std::time::Instant::now() < deadline {
        let starts = record.starts();
        if let Some(start) = starts
            .iter()
            .find(|start| start.task == task && start.run >= run)
        {
            return Some(start.executor.clone());
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

/// The longest time between a shutdown that the store has accepted and a start there.
const DRAIN_MS: u64 = 2_000;
/// The starts that get no answer: those of the first tasks of the job, sent again each time.
const UNANSWERED_TASKS: u32 = 8;

/// An executor leaves starts unanswered, reports its shutdown, and answers again.
pub fn draining(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3);
    let executors = start_executors(&deployment, &["b", "a", "a", "a", "a", "a", "a", "a"]);
    if !deployment.wait_until_ready() {
        return Err(NOT_READY.to_owned());
    }
    let id = "00000000000000c3";
    let body = r#"{"spec":"work=1000 cpu=400","steps":[{"count":40,"cpu":400,"memMb":64,"estimateMs":1000,"requirements":"b"}]}"#;
    let unanswered = move |path: &str, task: &str| {
        let index = task
            .rsplit_once('.')
            .and_then(|(_, index)| index.parse::<u32>().ok());
        match path == "/run-start"
            && has_trouble
            && index.is_some_and(|index| index < UNANSWERED_TASKS)
        {
            true => Treatment::Late(Duration::from_secs(12)),
            false => Treatment::Now,
        }
    };
    *executors[0].rule.lock().unwrap() = Some(Box::new(unanswered));
    if !deployment.submit(id, body) {
        return Err(NOT_ACCEPTED.to_owned());
    }
    thread::sleep(Duration::from_millis(200));
    let drained_ms = record.now_ms();
    executors[0].set_phase("draining");
    thread::sleep(Duration::from_secs(10));
    let late: Vec<_> = record
        .starts()
        .into_iter()
        .filter(|start| start.at_ms > drained_ms + DRAIN_MS)
        .collect();
    let late_answered = late.iter().filter(|start| start.executor == "i-0");
    let after: Vec<u64> = late_answered
        .map(|start| start.at_ms - drained_ms)
        .collect();
    Ok((!after.is_empty()).then(|| {
        let last = after.iter().max().unwrap_or(&0);
        format!("DRAIN: {} tasks were started on i-0 over {DRAIN_MS} ms after it reported its shutdown, the last one {last} ms after", after.len())
    }))
}

/// The time after the end of the traffic at which jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// The time for which a job may have nothing running at that time.
const IDLE_MS: u64 = 3_000;

/// Jobs that want one rack fill it, and a job whose second step has its data there waits for it.
pub fn hot_rack(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3);
    let executors: Vec<Arc<Executor>> = (0..8)
        .map(|index| {
            let (id, zone) = (format!("i-{index}"), ZONES[index % ZONES.len()]);
            let rack = if index == 0 { "r1-0" } else { "r1-1" };
            Executor::start(&id, zone, &["a", rack], 16_000, &deployment.store, record)
        })
        .collect();
    if !deployment.wait_until_ready() {
        return Err(NOT_READY.to_owned());
    }
    let id = "00000000000000c4";
    let body = r#"{"spec":"work=12000 cpu=4000","steps":[{"count":1,"cpu":4000,"memMb":512,"estimateMs":12000,"affinity":"r1-1"},{"count":1,"cpu":4000,"memMb":512,"estimateMs":12000,"affinity":"r1-0","after":[0]}]}"#;
    if !deployment.submit(id, body) {
        return Err(NOT_ACCEPTED.to_owned());
    }
    // With these, five of nine jobs want the hot rack.
    for index in 0..4 {
        let id = format!("00000000000002c{index}");
        let body = r#"{"spec":"work=1000 cpu=1000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":1000}]}"#;
        if !deployment.submit(&id, body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    if has_trouble {
        for index in 0..4 {
            let id = format!("00000000000001c{index}");
            let body = r#"{"spec":"work=20000 cpu=4000","steps":[{"count":1,"cpu":4000,"memMb":512,"estimateMs":20000,"affinity":"r1-0"}]}"#;
            if !deployment.submit(&id, body) {
                return Err(NOT_ACCEPTED.to_owned());
            }
        }
    }
    let traffic_end_ms = record.now_ms();
    let first_end = |task: &str| {
        record
            .ends()
            .iter()
            .find(|end| end.task == task)
            .map(|end| end.at_ms)
    };
    let (first, second) = (format!("{id}.0.0.0"), format!("{id}.0.1.0"));
    thread::sleep(Duration::from_millis(FINISH_MS));
    let asked_ms = record.now_ms();
    let started = wait_for_start(record, &second, 1, Duration::from_secs(60));
    let Some(ready_ms) = first_end(&first) else {
        return Err("the first step did not end".to_owned());
    };
    let started_ms = record
        .starts()
        .iter()
        .find(|start| start.task == second)
        .map_or(u64::MAX, |start| start.at_ms);
    let idle_ms = started_ms.saturating_sub(ready_ms);
    let used: usize = executors
        .iter()
        .map(|executor| executor.running().len())
        .sum();
    record.line(&format!("the second step could start at {ready_ms} ms and started at {started_ms} ms on {started:?}; the traffic ended at {traffic_end_ms} ms, jobs were asked for at {asked_ms} ms; {used} tasks of 4 of 128 cores run now"));
    let is_asked_within = ready_ms < asked_ms && asked_ms + IDLE_MS < started_ms;
    Ok((idle_ms > IDLE_MS && is_asked_within).then(|| {
        format!("LOST: the job had nothing running for {idle_ms} ms while its task's turn had come, with 112 of 128 cores free")
    }))
}

/// The time from the end of its last run after which a task that lasts has to run within `IDLE_MS`.
const RESTART_MS: u64 = 6_000;

/// A gang waits for its rack, and a task that lasts has ended there and has to run again.
pub fn held_room(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3);
    let executors: Vec<Arc<Executor>> = (0..8)
        .map(|index| {
            let (id, zone) = (format!("i-{index}"), ZONES[index % ZONES.len()]);
            let kind = format!("k{index}");
            let rack = if index < 3 { "r1-0" } else { "r1-1" };
            Executor::start(&id, zone, &[&kind, rack], 16_000, &deployment.store, record)
        })
        .collect();
    if !deployment.wait_until_ready() {
        return Err(NOT_READY.to_owned());
    }
    // Three cores stay free on each executor of the rack, and none elsewhere.
    for index in 0..8 {
        let id = format!("00000000000003c{index}");
        let (work, cpu) = if index < 3 {
            (32_000, 13_000)
        } else {
            (90_000, 16_000)
        };
        let body = format!(
            r#"{{"spec":"work={work} cpu={cpu}","steps":[{{"count":1,"cpu":{cpu},"memMb":512,"estimateMs":{work},"requirements":"k{index}"}}]}}"#
        );
        if !deployment.submit(&id, &body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    thread::sleep(Duration::from_millis(500));
    let id = "00000000000000c5";
    let body = r#"{"spec":"lasts=1 cpu=3000 work=10000","steps":[{"count":1,"cpu":3000,"memMb":512,"longRunning":true}]}"#;
    if !deployment.submit(id, body) {
        return Err(NOT_ACCEPTED.to_owned());
    }
    let task = format!("{id}.0.0.0");
    if wait_for_start(record, &task, 1, Duration::from_secs(5)).is_none() {
        return Err("the task that lasts did not start".to_owned());
    }
    if has_trouble {
        let body = r#"{"spec":"work=30000 cpu=9000","steps":[{"count":3,"cpu":9000,"memMb":512,"estimateMs":30000,"gang":true,"affinity":"r1-0"}]}"#;
        if !deployment.submit("00000000000000c6", body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    thread::sleep(Duration::from_secs(11));
    let ends = record.ends();
    let Some(ended_ms) = ends
        .iter()
        .find(|end| end.task == task)
        .map(|end| end.at_ms)
    else {
        return Err("the first run did not end".to_owned());
    };
    let started = wait_for_start(record, &task, 2, Duration::from_secs(60));
    let starts = record.starts();
    let again = starts
        .iter()
        .find(|start| start.task == task && start.run >= 2);
    let started_ms = again.map_or(u64::MAX, |start| start.at_ms);
    let others = record.ends();
    let freed_ms = others
        .iter()
        .filter(|end| end.task != task)
        .map(|end| end.at_ms)
        .min();
    record.line(&format!(
        "the run of the task that lasts ended at {ended_ms} ms, and the next one began at {started_ms} ms on {started:?}; the first other task ended at {freed_ms:?} ms"
    ));
    drop(executors);
    let away_ms = started_ms.saturating_sub(ended_ms);
    Ok((away_ms > RESTART_MS + IDLE_MS).then(|| {
        format!("LOST: a task that lasts didn't run for {away_ms} ms, with three cores free, which is its need, on each of three executors")
    }))
}

/// The jobs that can be done beside the hopeless ones, which are a share of 0.048 then.
const SOUND_JOBS: u32 = 160;

/// A hopeless job fails on each executor, long work starts there, and another job comes.
pub fn probation(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3);
    let kinds = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"];
    let executors = start_executors(&deployment, &kinds);
    if !deployment.wait_until_ready() {
        return Err(NOT_READY.to_owned());
    }
    for index in 0..SOUND_JOBS {
        let id = format!("0000000000004{index:03x}");
        let body = r#"{"spec":"work=50 cpu=1000","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":50}]}"#;
        if !deployment.submit(&id, body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    thread::sleep(Duration::from_millis(500));
    for kind in kinds.iter().filter(|_| has_trouble) {
        let id = format!("00000000000005{kind}").replace('k', "c");
        let body = format!(
            r#"{{"spec":"work=50 cpu=1000 fails=1","steps":[{{"count":1,"cpu":1000,"memMb":64,"estimateMs":50,"requirements":"{kind}"}}]}}"#
        );
        if !deployment.submit(&id, &body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    thread::sleep(Duration::from_secs(3));
    for kind in kinds {
        let id = format!("00000000000006{kind}").replace('k', "c");
        let body = format!(
            r#"{{"spec":"work=2400000 cpu=4000","steps":[{{"count":1,"cpu":4000,"memMb":512,"estimateMs":2400000,"requirements":"{kind}"}}]}}"#
        );
        if !deployment.submit(&id, &body) {
            return Err(NOT_ACCEPTED.to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let id = "00000000000000c7";
    let body = r#"{"spec":"work=1000 cpu=2000","steps":[{"count":1,"cpu":2000,"memMb":512,"estimateMs":1000}]}"#;
    if !deployment.submit(id, body) {
        return Err(NOT_ACCEPTED.to_owned());
    }
    let traffic_end_ms = record.now_ms();
    let task = format!("{id}.0.0.0");
    let started = wait_for_start(record, &task, 1, Duration::from_secs(60));
    let starts = record.starts();
    let first = starts.iter().find(|start| start.task == task);
    let started_ms = first.map_or(u64::MAX, |start| start.at_ms);
    let used: usize = executors
        .iter()
        .map(|executor| executor.running().len())
        .sum();
    record.line(&format!(
        "the traffic ended at {traffic_end_ms} ms, and the last job started at {started_ms} ms on {started:?}; {used} tasks run"
    ));
    let idle_ms = started_ms.saturating_sub(traffic_end_ms);
    Ok((idle_ms > FINISH_MS + IDLE_MS).then(|| {
        format!("LOST: a job had nothing running for {idle_ms} ms, with 12 of 16 cores free on each executor")
    }))
}
