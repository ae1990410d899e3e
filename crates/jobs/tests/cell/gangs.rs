use std::time::Duration;

use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::Label;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::StartRefusal;

use crate::fixture::CellHarness;
use crate::fixture::QUEUE;
use crate::fixture::executor_entry;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::settings;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

fn gang(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(count, cpu_milli, &[])
    }
}

#[tokio::test]
async fn a_gang_without_room_for_all_has_not_begun() {
    let submitted = submission(vec![gang(3, 2_000)]);
    let mut harness = CellHarness::with_job(&submitted);

    harness.commit();
    harness.commit();

    let pending = JobLookup::Known(JobState::Pending);
    assert_eq!(harness.cell.lookup_job_state(job(1)), pending);
    assert_eq!(harness.cell.pending_count(&QUEUE.into()), 1);
    assert_eq!(harness.take_orders("i-1"), []);
    let executor = harness
        .cell
        .executor(&"i-1".into())
        .expect("a listed executor");
    assert_eq!(executor.used().cpu_milli.0, 0);
}

#[tokio::test]
async fn the_members_of_a_gang_share_their_run_and_stop_together() {
    let submitted = submission(vec![gang(2, 2_000)]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    let started = harness.take_orders("i-1");

    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    let run = RunNumber(1);
    let id = "i-1".into();
    harness
        .cell
        .handle_start_result(&id, first, run, Ok(()), harness.now);
    let refused = Err(OrderError::Refused(StartRefusal::Room));
    harness
        .cell
        .handle_start_result(&id, second, run, refused, harness.now);

    let starts = [Order::Start(first, run), Order::Start(second, run)];
    assert_eq!(started, starts);
    assert_eq!(harness.take_orders("i-1"), [Order::Stop(first, run)]);
}

/// A gang of two members that only fit on separate executors.
fn spread_gang() -> CellHarness {
    let submitted = submission(vec![gang(2, 3_000)]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.list_executor("i-2", 4_000);
    harness.report("i-2", vec![], vec![]);
    harness
}

#[tokio::test]
async fn a_gang_that_loses_a_member_before_its_record_is_stored_starts_nowhere() {
    let mut harness = spread_gang();
    let batch = harness.store_next_batch();

    harness.report_as("i-2", 2, vec![], vec![]);
    harness.cell.handle_batch_stored(batch, harness.now);

    assert_eq!(harness.take_orders("i-1"), []);
    assert_eq!(harness.take_orders("i-2"), []);
}

#[tokio::test]
async fn a_gang_that_lost_a_member_with_the_former_owner_is_stopped() {
    let submitted = submission(vec![gang(2, 3_000)]);
    let mut former = spread_gang();
    former.commit();
    let mut harness = former.take_over(&[(job(1), submitted)]);
    harness.list_executor("i-1", 4_000);
    harness.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);

    harness.advance(settings().former_lease_lifetime_max());
    harness.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);
    harness.cell.expire_leases(harness.now);

    let stop = Order::Stop(task(1, 0, 0), RunNumber(1));
    assert_eq!(harness.take_orders("i-1"), [stop]);
}

#[tokio::test]
async fn the_stop_of_a_gang_that_lost_a_member_is_timed_by_the_clock_of_its_inputs() {
    let submitted = submission(vec![gang(2, 2_000)]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    harness.take_orders("i-1");
    harness.advance(Duration::from_secs(5));
    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    let (id, run) = ("i-1".into(), RunNumber(1));
    let started = Ok(());
    let refused = Err(OrderError::Refused(StartRefusal::Room));
    for (task, answer) in [(first, started), (second, refused)] {
        harness
            .cell
            .handle_start_result(&id, task, run, answer, harness.now);
    }
    let stops = harness.take_orders("i-1");

    harness.report("i-1", vec![running(first, 1)], vec![]);

    assert_eq!(stops, [Order::Stop(first, run)]);
    assert_eq!(harness.take_orders("i-1"), []);
}

/// Guards against a gang that runs slower than it could, away from its data, because the racks were
/// tried in the order of their names.
#[tokio::test]
async fn a_gang_takes_the_rack_with_its_data_and_otherwise_the_one_with_the_most_room() {
    let placed_on = |preferred_rack: Option<Label>| {
        let mut harness = CellHarness::new();
        for (id, cpu_milli, rack) in [
            ("i-1", 4_000, "r1"),
            ("i-2", 6_000, "r2"),
            ("i-3", 8_000, "r3"),
        ] {
            harness.upsert_executor(ExecutorEntry {
                labels: vec![rack.into()],
                ..executor_entry(id, cpu_milli)
            });
            harness.report(id, vec![], vec![]);
        }
        let gang = StepSpec {
            same_rack: true,
            preferred_rack,
            ..gang(2, 2_000)
        };
        let submitted = submission(vec![gang]);
        harness.cell.accept(job(1), submitted, harness.now);
        harness.commit();
        ["i-1", "i-2", "i-3"].map(|id| harness.accept_starts(id).len())
    };

    assert_eq!(placed_on(Some("r2".into())), [0, 2, 0]);
    assert_eq!(placed_on(None), [0, 0, 2]);
}
