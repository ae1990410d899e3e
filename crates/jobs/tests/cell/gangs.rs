use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::StartRefusal;

use crate::fixture::QUEUE;
use crate::fixture::World;
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
    let mut world = World::with_job(&submitted);

    world.commit();
    world.commit();

    let pending = JobLookup::Known(JobState::Pending);
    assert_eq!(world.cell.lookup_job_state(job(1)), pending);
    assert_eq!(world.cell.pending_count(&QUEUE.into()), 1);
    assert_eq!(world.sent("i-1"), []);
    let executor = world
        .cell
        .executor(&"i-1".into())
        .expect("a listed executor");
    assert_eq!(executor.used().cpu_milli.0, 0);
}

#[tokio::test]
async fn the_members_of_a_gang_share_their_run_and_stop_together() {
    let submitted = submission(vec![gang(2, 2_000)]);
    let mut world = World::with_job(&submitted);
    world.commit();
    let started = world.sent("i-1");

    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    let run = RunNumber(1);
    let id = "i-1".into();
    world
        .cell
        .handle_start_result(&id, first, run, Ok(()), world.now);
    let refused = Err(OrderError::Refused(StartRefusal::Room));
    world
        .cell
        .handle_start_result(&id, second, run, refused, world.now);

    let starts = [Order::Start(first, run), Order::Start(second, run)];
    assert_eq!(started, starts);
    assert_eq!(world.sent("i-1"), [Order::Stop(first, run)]);
}

/// A gang of two whose members need an executor each.
fn spread_gang() -> World {
    let submitted = submission(vec![gang(2, 3_000)]);
    let mut world = World::with_job(&submitted);
    world.list("i-2", 4_000);
    world.report("i-2", vec![], vec![]);
    world
}

#[tokio::test]
async fn a_gang_that_loses_a_member_before_its_record_is_stored_starts_nowhere() {
    let mut world = spread_gang();
    let batch = world.take_batch();

    world.report_of("i-2", 2, vec![], vec![]);
    world.cell.handle_batch_stored(batch, world.now);

    assert_eq!(world.sent("i-1"), []);
    assert_eq!(world.sent("i-2"), []);
}

#[tokio::test]
async fn a_gang_that_lost_a_member_with_the_former_owner_is_stopped() {
    let submitted = submission(vec![gang(2, 3_000)]);
    let mut former = spread_gang();
    former.commit();
    let mut world = former.take_over(&[(job(1), submitted)]);
    world.list("i-1", 4_000);
    world.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);

    world.pass(settings().former_lease_lifetime_max());
    world.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);
    world.cell.expire_leases(world.now);

    let stop = Order::Stop(task(1, 0, 0), RunNumber(1));
    assert_eq!(world.sent("i-1"), [stop]);
}
