use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::AdvisorTiming;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::platform::Advice;
use dotterelhook_jobs::platform::AdviceRequest;

use crate::fixture::World;
use crate::fixture::config_of;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;
use crate::fixture::terms;

/// A cell with two executors whose queue asks for tickets, and a job of one task.
fn world() -> World {
    let mut world = World::new();
    let advice = Some(AdvisorTiming {
        decide_ms: 50,
        per_executor_ms: 2,
        valid_ms: 3_000,
    });
    world
        .cell
        .apply_config(config_of(dotterelhook_jobs::model::QueueConfig {
            advice,
            ..terms(3)
        }));
    for id in ["i-1", "i-2"] {
        world.list(id, 4_000);
        world.report(id, vec![], vec![]);
    }
    let submitted = submission(vec![step(1, 1_000, &[])]);
    world.cell.accept(job(1), submitted, world.now);
    world
}

fn approve(world: &mut World, question: &AdviceRequest, id: &str) {
    let advice = Advice {
        tickets: vec![(id.into(), "c81e".into())],
        valid_for: Duration::from_secs(3),
    };
    world.cell.handle_advice(question, Some(advice), world.now);
}

#[tokio::test]
async fn a_task_waits_for_a_ticket_and_its_start_carries_it() {
    let mut world = world();
    world.commit();
    let before = (world.sent("i-1"), world.sent("i-2"));

    let question = world
        .cell
        .next_advice_request(world.now)
        .expect("a question");
    let second = world.cell.next_advice_request(world.now);
    approve(&mut world, &question, "i-2");
    world.commit();
    let started = (world.sent("i-1"), world.sent("i-2"));
    let id = ExecutorId::from("i-2");
    let run = RunNumber(1);
    let order = world.cell.start_order(&id, task(1, 0, 0), run, world.now);

    assert_eq!(before, (vec![], vec![]));
    assert_eq!(question.executors.len(), 2);
    assert_eq!(second, None, "one question for a step at a time");
    assert_eq!(started, (vec![], vec![Order::Start(task(1, 0, 0), run)]));
    assert_eq!(
        order.and_then(|order| order.ticket).as_deref(),
        Some("c81e")
    );
}

#[tokio::test]
async fn executors_that_may_not_run_a_step_are_not_asked_about_again() {
    let mut world = world();
    let question = world
        .cell
        .next_advice_request(world.now)
        .expect("a question");
    approve(&mut world, &question, "i-2");

    world.pass(Duration::from_secs(4));
    for id in ["i-1", "i-2"] {
        world.report(id, vec![], vec![]);
    }
    let again = world
        .cell
        .next_advice_request(world.now)
        .expect("a question");

    assert_eq!(again.executors, [ExecutorId::from("i-2")]);
}

#[tokio::test]
async fn a_start_whose_ticket_has_run_out_is_not_sent() {
    let mut world = world();
    let question = world
        .cell
        .next_advice_request(world.now)
        .expect("a question");
    approve(&mut world, &question, "i-2");
    world.commit();

    world.pass(Duration::from_secs(4));
    let id = ExecutorId::from("i-2");
    let run = RunNumber(1);
    let order = world.cell.start_order(&id, task(1, 0, 0), run, world.now);
    world.cell.abandon_start(&id, task(1, 0, 0), run);

    assert!(order.is_none());
    let executor = world.cell.executor(&id).expect("a listed executor");
    assert!(executor.runs().is_empty());
}

#[tokio::test]
async fn a_question_without_an_answer_is_asked_again() {
    let mut world = world();
    let question = world
        .cell
        .next_advice_request(world.now)
        .expect("a question");

    world.cell.handle_advice(&question, None, world.now);

    assert_eq!(world.cell.next_advice_request(world.now), Some(question));
}
