//! Runs that leave an evacuated failure domain.

use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;

use crate::fixture::CellHarness;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

const EVACUATED: &str = "laguna";
/// The executor of the evacuated failure domain.
const EMPTYING: &str = "i-1";

/// Creates a cell where the tasks of a step run in the failure domain that is then evacuated, and in
/// which executor `i-2` has the given capacity in another one.
fn evacuated_cell(step: StepSpec, reports: &[RunningRun], elsewhere_milli: u64) -> CellHarness {
    let mut harness = CellHarness::new();
    harness.list_executor_in(EVACUATED, EMPTYING, 16_000);
    harness.report(EMPTYING, vec![], vec![]);
    harness
        .cell
        .accept(job(1), submission(vec![step]), harness.now);
    harness.commit();
    assert_eq!(harness.accept_starts(EMPTYING).len(), reports.len());
    harness.list_executor_in("quezon", "i-2", elsewhere_milli);
    harness.report("i-2", vec![], vec![]);
    harness.report(EMPTYING, reports.to_vec(), vec![]);
    harness.evacuate(&[EVACUATED], None);
    harness
}

fn reports(count: u32, has_checkpoint: bool) -> Vec<RunningRun> {
    let report = |index| RunningRun {
        checkpoint: has_checkpoint.then(|| "saved".into()),
        recent_measurement: Some(10.0),
        ..running(task(1, 0, index), 1)
    };
    (0..count).map(report).collect()
}

fn long_step(count: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        estimate_ms: 20_000,
        ..step(count, 2_000, &[])
    }
}

fn serving_step(count: u32, unavailable_max: u32) -> StepSpec {
    StepSpec {
        is_long_running: true,
        unavailable_max: Some(unavailable_max),
        tail_target_ms: Some(100),
        image: Some("web".into()),
        ..step(count, 1_000, &[])
    }
}

/// Lets some rounds pass and returns the tasks whose runs were stopped.
fn stopped(harness: &mut CellHarness, id: &str) -> Vec<TaskId> {
    for _ in 0..5 {
        harness.cell.relocate_runs(harness.now);
        harness.commit();
    }
    let orders = harness.take_orders(id).into_iter();
    let stops = orders.filter_map(|order| match order {
        Order::Stop(task, _) => Some(task),
        _ => None,
    });
    stops.collect()
}

/// Reports the end of stopped runs and keeps the other ones running.
fn end_runs(harness: &mut CellHarness, running: &[RunningRun], ended_tasks: &[TaskId]) {
    let ends: Vec<EndedRun> = (1..)
        .zip(ended_tasks)
        .map(|(number, task)| EndedRun {
            checkpoint: Some("saved".into()),
            ..ended(number, *task, 1, RunEnd::Stopped)
        })
        .collect();
    let left = running
        .iter()
        .filter(|run| !ended_tasks.contains(&run.task));
    let left = left.cloned().collect();
    harness.report(EMPTYING, left, ends);
    harness.commit();
}

#[test]
fn a_run_with_a_checkpoint_and_long_remaining_time_continues_elsewhere() {
    let reports = reports(1, true);
    let mut harness = evacuated_cell(long_step(1), &reports, 4_000);

    let leaving = stopped(&mut harness, EMPTYING);
    let before_the_end = harness.accept_starts("i-2");
    end_runs(&mut harness, &reports, &leaving);

    assert_eq!(leaving, [task(1, 0, 0)]);
    assert!(before_the_end.is_empty());
    let (id, run) = ("i-2".into(), RunNumber(2));
    let order = harness
        .cell
        .start_order(&id, task(1, 0, 0), run, true, harness.now);
    assert_eq!(
        order.and_then(|order| order.checkpoint),
        Some("saved".into())
    );
}

/// Guards against discarded work: of runs without a checkpoint, of runs that end soon, and of runs
/// for which no other failure domain has capacity.
#[test]
fn runs_stay_where_leaving_would_cost_more_than_it_gains() {
    let short = StepSpec {
        estimate_ms: 2_500,
        ..long_step(1)
    };
    let cases = [
        ("without a checkpoint", long_step(1), false, 4_000),
        ("ends soon", short, true, 4_000),
        ("no capacity elsewhere", long_step(1), true, 1_900),
    ];

    for (name, step, has_checkpoint, elsewhere_milli) in cases {
        let reports = reports(1, has_checkpoint);
        let mut harness = evacuated_cell(step, &reports, elsewhere_milli);

        assert_eq!(stopped(&mut harness, EMPTYING), [], "{name}");
    }
}

/// Guards against more stops than there is capacity for: the places of runs that are leaving are taken.
#[test]
fn no_more_runs_leave_than_find_a_place() {
    let mut harness = evacuated_cell(long_step(8), &reports(8, true), 6_000);

    assert_eq!(stopped(&mut harness, EMPTYING).len(), 3);
}

/// Guards against a stopped run whose place is taken by work that arrives meanwhile.
#[test]
fn the_place_of_a_leaving_run_is_held_for_it() {
    let reports = reports(1, true);
    let mut harness = evacuated_cell(long_step(1), &reports, 2_000);
    let leaving = stopped(&mut harness, EMPTYING);

    let other = submission(vec![step(1, 1_000, &[])]);
    harness.cell.accept(job(2), other, harness.now);
    harness.commit();
    let meanwhile = harness.accept_starts("i-2");
    end_runs(&mut harness, &reports, &leaving);

    assert!(meanwhile.is_empty());
    assert_eq!(harness.accept_starts("i-2"), [task(1, 0, 0)]);
}

/// Guards against a place that is held for a run which can't be stopped.
#[test]
fn a_place_is_given_up_when_the_run_does_not_end() {
    let mut harness = evacuated_cell(long_step(1), &reports(1, true), 2_000);
    let leaving = stopped(&mut harness, EMPTYING);
    let other = submission(vec![step(1, 1_000, &[])]);
    harness.cell.accept(job(2), other, harness.now);

    harness.advance(Duration::from_secs(4));
    harness.cell.relocate_runs(harness.now);
    harness.report("i-2", vec![], vec![]);
    harness.commit();

    assert_eq!(leaving.len(), 1);
    assert_eq!(harness.accept_starts("i-2"), [task(2, 0, 0)]);
}

/// Guards against AVAIL: more tasks of a step away than the client permits, where tasks that wait for
/// a place count too.
#[test]
fn serving_tasks_leave_in_increments_of_what_may_be_missing() {
    let reports = reports(6, false);
    let mut harness = evacuated_cell(serving_step(6, 2), &reports, 16_000);

    let first = stopped(&mut harness, EMPTYING);
    end_runs(&mut harness, &reports, &first[..1]);
    let started = harness.accept_starts("i-2");
    let while_away = stopped(&mut harness, EMPTYING);
    let mut serving = running(started[0], 2);
    serving.recent_measurement = Some(10.0);
    harness.report("i-2", vec![serving], vec![]);
    let next = stopped(&mut harness, EMPTYING);

    assert_eq!(first.len(), 2);
    assert_eq!(started, first[..1]);
    assert_eq!((while_away.len(), next.len()), (0, 1));
}

#[test]
fn serving_tasks_stay_if_none_may_be_missing_or_room_is_scarce() {
    let reports = reports(2, false);

    let mut none_missing = evacuated_cell(serving_step(2, 0), &reports, 16_000);
    let mut scarce_room = evacuated_cell(serving_step(2, 2), &reports, 1_500);

    assert_eq!(stopped(&mut none_missing, EMPTYING), []);
    assert_eq!(stopped(&mut scarce_room, EMPTYING), []);
}

/// Guards against a gang that loses some of its members: it needs capacity elsewhere for all.
#[test]
fn a_gang_leaves_as_a_whole_or_not_at_all() {
    let gang = StepSpec {
        is_gang: true,
        ..long_step(3)
    };
    let reports = reports(3, true);

    let mut too_small = evacuated_cell(gang.clone(), &reports, 4_000);
    let mut large_enough = evacuated_cell(gang, &reports, 6_000);
    let leaving = stopped(&mut large_enough, EMPTYING);
    end_runs(&mut large_enough, &reports, &leaving[..2]);
    let partly = large_enough.accept_starts("i-2");
    end_runs_from(&mut large_enough, 3, leaving[2]);

    assert_eq!(stopped(&mut too_small, EMPTYING), []);
    assert_eq!(leaving.len(), 3);
    assert!(partly.is_empty());
    assert_eq!(large_enough.accept_starts("i-2").len(), 3);
}

fn end_runs_from(harness: &mut CellHarness, number: u64, task: TaskId) {
    let last = ended(number, task, 1, RunEnd::Stopped);
    harness.report(EMPTYING, vec![], vec![last]);
    harness.commit();
}

/// Guards against runs that move to a failure domain which is evacuated next.
#[test]
fn a_held_place_in_a_failure_domain_that_is_evacuated_next_is_given_up() {
    let reports = reports(1, true);
    let mut harness = evacuated_cell(long_step(1), &reports, 4_000);
    let leaving = stopped(&mut harness, EMPTYING);

    harness.evacuate(&[EVACUATED, "quezon"], None);
    end_runs(&mut harness, &reports, &leaving);
    let during = harness.accept_starts("i-2");
    harness.evacuate(&["quezon"], None);
    harness.commit();

    assert!(during.is_empty());
    assert_eq!(harness.accept_starts(EMPTYING), [task(1, 0, 0)]);
}
