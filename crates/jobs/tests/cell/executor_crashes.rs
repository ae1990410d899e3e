//! Tasks that crash the executors that start them, and crashes that no task has caused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::ledger::CrashHistory;
use dotterelhook_jobs::ledger::Loss;
use dotterelhook_jobs::ledger::REMEMBERED_TASKS_MAX;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::model::ExecutorKey;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::Schedule;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_types::ids::Incarnation;

use crate::crash_world::CrashWorld;
use crate::crash_world::Return;
use crate::fixture::CellHarness;
use crate::fixture::LEASE;
use crate::fixture::job;
use crate::fixture::settings;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The starts after which a task that crashes its executors must not start again: three more than two are
/// counted once three executors have crashed under it.
const STARTS_MAX: u32 = 5;
/// The limit for a job with such a task: so many crashes, each with an expired lease and a round of placement.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(5 * 8);
/// The limit for work that has lost its executors three times: leases and the work itself.
const COMPLETE_WITHIN: Duration = Duration::from_secs(60);
/// The number of the job with the deadly task.
const DEADLY_JOB: u64 = 1;

fn deadly_task() -> TaskId {
    task(DEADLY_JOB, 0, 0)
}

/// A world with twelve executors and a job whose first task is deadly.
fn world_with(step: StepSpec) -> CrashWorld {
    let mut world = CrashWorld::new(12);
    world.submit_deadly(DEADLY_JOB, submission(vec![step]), deadly_task());
    world
}

/// Adds jobs of short tasks, four to each executor, from job 10 on.
fn submit_neighbours(world: &mut CrashWorld, count: u64) {
    for number in 10..10 + count {
        world.submit(number, submission(vec![step(4, 1_500, &[])]));
    }
}

fn assert_given_up(world: &mut CrashWorld) {
    world.run_until(DEADLY_JOB, JobState::Failed, GIVEN_UP_WITHIN);
    let starts = world.starts_of(deadly_task());
    assert!((2..=STARTS_MAX).contains(&starts), "{starts} starts");
    world.run(GIVEN_UP_WITHIN);
    assert_eq!(world.starts_of(deadly_task()), starts);
}

fn assert_completed(world: &mut CrashWorld, jobs: impl Iterator<Item = u64>) {
    for number in jobs {
        world.run_until(number, JobState::Completed, COMPLETE_WITHIN);
    }
}

/// Guards against a task that crashes one executor after the other without end: runs that were lost with
/// their executors counted for nothing.
#[tokio::test]
async fn a_task_that_crashes_its_executors_is_given_up() {
    let mut world = world_with(step(3, 1_000, &[]));

    world.run(GIVEN_UP_WITHIN);

    assert!(
        world.starts_of(deadly_task()) <= STARTS_MAX,
        "{:?}",
        world.starts
    );
    assert_eq!(world.state(DEADLY_JOB), Some(JobState::Failed));
}

/// Guards against a job that is given up late, or that holds its places afterwards.
#[tokio::test]
async fn a_job_that_is_given_up_fails_at_once_and_frees_its_places() {
    let mut world = world_with(StepSpec {
        is_long_running: true,
        ..step(6, 1_000, &[])
    });
    world.endless.insert(job(DEADLY_JOB));
    let last_crash = |world: &CrashWorld| world.starts_of(deadly_task());
    while last_crash(&world) < 2 {
        world.run(Duration::from_millis(50));
    }

    let took = world.run_until(DEADLY_JOB, JobState::Failed, GIVEN_UP_WITHIN);

    assert!(took <= Duration::from_secs(1), "told after {took:?}");
    world.run(Duration::from_millis(500));
    assert_eq!(world.running_count(), 0);
    let used = |world: &CrashWorld| -> u64 {
        let executors = world.harness.cell.executors();
        executors.map(|executor| executor.used().cpu_milli.0).sum()
    };
    world.run(LEASE * 2);
    assert_eq!(used(&world), 0);
}

/// Guards against kinds of tasks whose crashes count for nothing.
#[tokio::test]
async fn tasks_of_every_kind_are_given_up() {
    let kinds = [
        StepSpec {
            is_long_running: true,
            ..step(3, 1_000, &[])
        },
        StepSpec {
            is_gang: true,
            ..step(3, 1_000, &[])
        },
        StepSpec {
            allows_copies: true,
            ..step(3, 1_000, &[])
        },
        StepSpec {
            is_filler: true,
            image: Some("batch".into()),
            ..step(3, 1_000, &[])
        },
        StepSpec {
            per_executor_max: Some(1),
            ..step(3, 1_000, &[])
        },
    ];
    for kind in kinds {
        let mut world = world_with(kind);
        assert_given_up(&mut world);
    }
}

/// Guards against an occurrence of a recurring job that starts without end.
#[tokio::test]
async fn a_task_of_a_recurring_job_is_given_up() {
    let spec = JobSpec {
        payload: "work".into(),
        steps: vec![step(2, 1_000, &[])],
        schedule: Some(Schedule {
            first_unix_ms: 0,
            interval_ms: 1_000,
            occurrences: 3,
        }),
    };
    let mut world = CrashWorld::new(12);
    let submitted = Arc::new(Submission {
        spec,
        ..Submission::clone(&submission(Vec::new()))
    });
    world.submit_deadly(DEADLY_JOB, submitted, deadly_task());
    world.harness.cell.create_due_occurrences(2_000);

    assert_given_up(&mut world);
}

/// Guards against crashes that count only while the executor keeps or changes its id, or that are missed
/// when it is back before the next look.
#[tokio::test]
async fn executors_that_return_in_any_way_count() {
    let returns = [
        (Return::NewId, 3_200),
        (Return::SameId, 3_200),
        (Return::SameId, 50),
        (Return::Never, 0),
    ];
    for (returns, downtime_ms) in returns {
        let mut world = CrashWorld::new(12);
        world.returns = returns;
        world.downtime = Duration::from_millis(downtime_ms);
        let submitted = submission(vec![step(3, 1_000, &[])]);
        world.submit_deadly(DEADLY_JOB, submitted, deadly_task());

        assert_given_up(&mut world);
    }
}

/// Guards against crashes that count only if the executor has answered the start.
#[tokio::test]
async fn starts_whose_answers_are_lost_count() {
    let mut world = world_with(step(3, 1_000, &[]));
    world.loses_answers = true;

    assert_given_up(&mut world);
}

/// Guards against counts that end with the owner of the cell.
#[tokio::test]
async fn crashes_count_across_takeovers() {
    for interval_ms in [700, 1_500, 4_000] {
        let mut world = world_with(step(3, 1_000, &[]));
        for _ in 0..GIVEN_UP_WITHIN.as_millis() as u64 * 2 / interval_ms {
            world.run(Duration::from_millis(interval_ms));
            if world.state(DEADLY_JOB) != Some(JobState::Failed) {
                world.take_over();
            }
        }

        let starts = world.starts_of(deadly_task());
        assert!(starts <= STARTS_MAX, "{starts} starts");
        assert_given_up(&mut world);
    }
}

/// Guards against counts that need executors to refuse the orders of former owners.
#[tokio::test]
async fn crashes_count_without_fences() {
    let settings = CellSettings {
        executors_enforce_fences: false,
        ..settings()
    };
    let mut world = CrashWorld::with_settings(12, settings);
    let submitted = submission(vec![step(3, 1_000, &[])]);
    world.submit_deadly(DEADLY_JOB, submitted, deadly_task());
    world.run(Duration::from_secs(4));
    world.take_over();

    assert_given_up(&mut world);
}

/// Guards against a task that crashes its executors only after it has worked for a while.
#[tokio::test]
async fn a_task_that_crashes_its_executors_later_is_given_up() {
    for after_ms in [400, 1_200, 6_000] {
        let mut world = CrashWorld::new(12);
        world.work = Duration::from_secs(10);
        let after = Duration::from_millis(after_ms);
        world.deadly.insert(deadly_task(), after);
        world.submit(DEADLY_JOB, submission(vec![step(3, 1_000, &[])]));
        world.run(Duration::from_secs(100));

        assert_eq!(world.state(DEADLY_JOB), Some(JobState::Failed), "{after:?}");
        assert!(world.starts_of(deadly_task()) <= STARTS_MAX, "{after:?}");
    }
}

/// Guards against neighbours on crashed executors that are taken for the cause.
#[tokio::test]
async fn neighbours_of_deadly_tasks_complete() {
    let mut world = CrashWorld::new(12);
    for number in 1..=4 {
        let submitted = submission(vec![step(3, 500, &[])]);
        world.submit_deadly(number, submitted, task(number, 0, 0));
    }
    for number in 10..50 {
        world.submit(number, submission(vec![step(4, 1_000, &[])]));
        world.run(Duration::from_millis(250));
    }

    assert_completed(&mut world, 10..50);
    for number in 1..=4 {
        world.run_until(number, JobState::Failed, GIVEN_UP_WITHIN);
        assert!(world.starts_of(task(number, 0, 0)) <= STARTS_MAX);
    }
}

/// Guards against innocent work that is given up after losses of power, each of a third of the
/// executors, that come again just after the work has restarted.
#[tokio::test]
async fn losses_of_power_give_up_no_work() {
    for returns in [Return::NewId, Return::SameId] {
        let mut world = CrashWorld::new(24);
        world.returns = returns;
        world.work = Duration::from_secs(4);
        submit_neighbours(&mut world, 20);
        for _ in 0..4 {
            world.run(Duration::from_millis(7_500));
            let up = world.up();
            for id in up.iter().step_by(3) {
                world.crash(id);
            }
        }

        assert_completed(&mut world, 10..30);
    }
}

/// Guards against innocent work that is given up with executors that were cut off and work on.
#[tokio::test]
async fn cut_executors_give_up_no_work() {
    let mut world = CrashWorld::new(12);
    world.work = Duration::from_secs(5);
    submit_neighbours(&mut world, 8);
    for _ in 0..6 {
        let up = world.up();
        let cut: Vec<_> = up.iter().step_by(2).cloned().collect();
        cut.iter().for_each(|id| world.set_cut_off(id, true));
        world.run(LEASE + Duration::from_secs(1));
        cut.iter().for_each(|id| world.set_cut_off(id, false));
        world.run(Duration::from_millis(300));
    }

    assert_completed(&mut world, 10..18);
}

/// Guards against innocent work that is given up with executors whose shutdown was announced.
#[tokio::test]
async fn announced_shutdowns_do_not_count() {
    let mut world = CrashWorld::new(12);
    world.work = Duration::from_secs(3);
    world.submit(10, submission(vec![step(1, 1_000, &[])]));
    let moved = task(10, 0, 0);
    for _ in 0..STARTS_MAX + 1 {
        world.run(Duration::from_millis(500));
        let id = world.executor_of(moved).expect("a running task");
        let phase = ExecutorPhase::Draining {
            remaining_ms: Some(10_000),
        };
        world.update_entry(&id, |entry| entry.phase = phase);
        world.crash(&id);
        world.run(LEASE + Duration::from_secs(1));
    }

    assert_completed(&mut world, 10..11);
}

/// Guards against another start beside an isolated run, which would share the blame.
#[tokio::test]
async fn an_isolated_run_has_no_new_neighbours() {
    let mut world = world_with(step(1, 1_000, &[]));
    // The next run of the task works.
    world.run(Duration::from_millis(300));
    world.deadly.clear();
    world.work = Duration::from_secs(20);
    while world.executor_of(deadly_task()).is_none() {
        world.run(Duration::from_millis(50));
    }
    let isolated_on = world.executor_of(deadly_task());

    submit_neighbours(&mut world, 12);
    world.run(Duration::from_secs(1));

    let is_beside = |number: u64| {
        let tasks = (0..4).map(|index| task(number, 0, index));
        tasks
            .filter(|task| world.executor_of(*task) == isolated_on)
            .count()
    };
    assert_eq!((10..22).map(is_beside).sum::<usize>(), 0);
    // Once the run has outlived the crash, its executor is open again.
    world.run(Duration::from_secs(3));
    submit_neighbours(&mut world, 0);
    for number in 30..40 {
        world.submit(number, submission(vec![step(4, 1_500, &[])]));
    }
    world.run(Duration::from_secs(1));
    let has_neighbour = (30..40)
        .any(|number| (0..4).any(|index| world.executor_of(task(number, 0, index)) == isolated_on));
    assert!(has_neighbour);
}

/// Guards against a gang that waits without an end for executors without young runs, once two executors
/// were lost under it.
#[tokio::test]
async fn a_gang_is_isolated_only_for_a_limited_wait() {
    let mut world = CrashWorld::new(4);
    let gang = StepSpec {
        is_gang: true,
        ..step(2, 1_000, &[])
    };
    world.work = Duration::from_millis(450);
    world.endless.insert(job(1));
    world.submit(1, submission(vec![gang]));
    let members = [task(1, 0, 0), task(1, 0, 1)];
    for _ in 0..2 {
        world.run(Duration::from_secs(12));
        let id = world.executor_of(members[0]).expect("a run of the gang");
        world.crash(&id);
    }

    let young = StepSpec {
        per_executor_max: Some(1),
        ..step(4, 200, &[])
    };
    for number in 10..100 {
        world.submit(number, submission(vec![young.clone()]));
        world.run(Duration::from_millis(200));
    }

    for member in members {
        assert!(world.executor_of(member).is_some(), "{member} does not run");
    }
}

/// Guards against an isolated run that is taken for the cause of a crash that came before it: its start was
/// sent to an executor that was not known to be down, and had no answer.
#[tokio::test]
async fn an_isolated_run_is_not_blamed_for_an_earlier_crash() {
    let mut harness = CellHarness::new();
    let mut incarnations = BTreeMap::from([("i-1", 1), ("i-2", 1), ("i-3", 1)]);
    for id in incarnations.keys() {
        harness.list_executor(id, 4_000);
    }
    let now = harness.now;
    harness
        .cell
        .accept(job(1), submission(vec![step(1, 1_000, &[])]), now);
    let unanswered = || Err(OrderError::Unknown("no answer".into()));
    for answer in [Ok(()), Ok(()), unanswered()] {
        for (id, incarnation) in &incarnations {
            harness.report_as(id, *incarnation, vec![], vec![]);
        }
        harness.commit();
        let started_on = incarnations.keys().copied().find(|id| {
            let orders = harness.take_orders(id);
            orders.iter().any(|order| matches!(order, Order::Start(..)))
        });
        let id = started_on.expect("a start");
        let (innocent, now) = (task(1, 0, 0), harness.now);
        let run = harness
            .cell
            .executor(&id.into())
            .and_then(|e| e.run(innocent));
        let run = run.expect("a placed run").run;
        harness
            .cell
            .handle_start_result(&id.into(), innocent, run, answer, now);
        harness.advance(Duration::from_millis(900));
        let incarnation = incarnations.get_mut(id).expect("a listed executor");
        *incarnation += 1;
        harness.report_as(id, *incarnation, vec![], vec![]);
        harness.advance(Duration::from_millis(600));
        harness.cell.judge_losses(harness.now);
    }
    harness.commit();

    let state = harness.cell.lookup_job_state(job(1));
    assert_eq!(state, JobLookup::Known(JobState::Running));
}

/// Guards against a crash that does not count, because the start was carried out long after it was sent and
/// the executor had answered in between.
#[tokio::test]
async fn a_start_that_is_carried_out_late_is_suspected() {
    let mut harness = CellHarness::with_job(&submission(vec![step(1, 1_000, &[])]));
    harness.commit();
    harness.take_orders("i-1");
    let (late, id, run) = (task(1, 0, 0), "i-1".into(), RunNumber(1));
    let unanswered = Err(OrderError::Unknown("no answer".into()));
    let now = harness.now;
    harness
        .cell
        .handle_start_result(&id, late, run, unanswered, now);
    harness.advance(Duration::from_secs(1));
    harness.report("i-1", vec![], vec![]);
    let neighbour = submission(vec![step(1, 1_000, &[])]);
    harness.cell.accept(job(2), neighbour, harness.now);
    harness.commit();
    harness.accept_starts("i-1");

    harness.report_as("i-1", 2, vec![], vec![]);

    let ledger = harness.cell.ledger();
    let crashes = |number, task| {
        let history = ledger
            .job(job(number))
            .expect("an open job")
            .crash_history();
        history.task(task).map(|crashes| crashes.suspected)
    };
    assert_eq!(crashes(1, late), Some(1));
    assert_eq!(crashes(2, task(2, 0, 0)), Some(1));
}

/// Guards against counts that grow without limit in memory and at the store: the record of a job must fit
/// an append beside others. Tasks with more losses are kept.
#[tokio::test]
async fn the_crashes_of_a_job_are_bounded() {
    let mut history = CrashHistory::default();
    let executor = |incarnation| ExecutorKey {
        id: "i-0123456789".into(),
        incarnation: Incarnation(incarnation),
    };
    let worst = task(1, 0, 0);
    for number in 1..=4 {
        history.record(worst, &executor(number), Loss::default());
    }

    for index in 0..20_000 {
        history.record(task(1, 1, index), &executor(5), Loss::default());
    }

    assert_eq!(history.tasks().count(), REMEMBERED_TASKS_MAX);
    assert_eq!(history.task(worst).map(|crashes| crashes.lost), Some(4));
    let stored = history.take_change().expect("a change");
    let record = encode(&stored).expect("a record");
    assert!(record.len() <= 128 << 10, "{} bytes", record.len());
    println!("{} bytes for {} tasks", record.len(), stored.len());
}
