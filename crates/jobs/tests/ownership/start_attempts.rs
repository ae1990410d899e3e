use dotterelhook_jobs::ownership::StartAttempts;
use dotterelhook_jobs::ownership::StartStep;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::StartRefusal;

type Answer = Result<(), OrderError>;

fn unknown() -> Answer {
    Err(OrderError::Unknown("no answer".into()))
}

fn not_sent() -> Answer {
    Err(OrderError::NotSent("no listener".into()))
}

fn refused(refusal: StartRefusal) -> Answer {
    Err(OrderError::Refused(refusal))
}

/// Returns the outcome after the given answers, or `None` if another send follows.
fn outcome(answers: Vec<Answer>) -> Option<Answer> {
    let mut attempts = StartAttempts::default();
    let steps = answers.into_iter().map(|answer| attempts.record(answer));
    match steps.last() {
        Some(StartStep::Finish(outcome)) => Some(outcome),
        _ => None,
    }
}

#[test]
fn a_refusal_after_a_lost_answer_does_not_say_that_nothing_runs() {
    let failures = [
        refused(StartRefusal::Room),
        refused(StartRefusal::Late),
        refused(StartRefusal::Ticket),
        refused(StartRefusal::Unhealthy),
        refused(StartRefusal::Malformed),
        Err(OrderError::OtherExecutor),
    ];
    for failure in failures {
        let outcome = outcome(vec![unknown(), failure.clone()]);

        assert!(
            matches!(outcome, Some(Err(OrderError::Unknown(_)))),
            "{failure:?} led to {outcome:?}"
        );
    }
}

#[test]
fn a_last_send_that_was_not_sent_leaves_an_earlier_one_unknown() {
    let outcome = outcome(vec![unknown(), not_sent(), not_sent()]);

    assert!(matches!(outcome, Some(Err(OrderError::Unknown(_)))));
}

#[test]
fn without_a_lost_answer_failures_are_certain() {
    let room = refused(StartRefusal::Room);

    assert_eq!(outcome(vec![room.clone()]), Some(room));
    assert_eq!(
        outcome(vec![not_sent(), not_sent(), not_sent()]),
        Some(not_sent())
    );
}

#[test]
fn an_executor_that_knows_the_run_settles_a_lost_answer() {
    let old = refused(StartRefusal::Old);

    assert_eq!(outcome(vec![unknown(), Ok(())]), Some(Ok(())));
    assert_eq!(outcome(vec![unknown(), old.clone()]), Some(old));
}

#[test]
fn an_order_is_sent_three_times_at_most() {
    assert_eq!(outcome(vec![unknown(), unknown()]), None);
    assert_eq!(
        outcome(vec![unknown(), unknown(), unknown()]),
        Some(unknown())
    );
}
