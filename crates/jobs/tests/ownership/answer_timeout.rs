use std::time::Duration;

use dotterelhook_jobs::ownership::AnswerTimeout;

const MIN: Duration = Duration::from_millis(500);
const MAX: Duration = Duration::from_millis(1_700);
const PROMPT: Duration = Duration::from_millis(5);

/// Makes calls of the given latencies, in rounds. Returns how many of the last round were answered in
/// time.
fn answered_in_time(timeout: &mut AnswerTimeout, latencies: &[Duration], rounds: usize) -> usize {
    let mut answered = 0;
    for _ in 0..rounds {
        answered = 0;
        for latency in latencies {
            let waited = (*latency).min(timeout.current());
            answered += usize::from(*latency < timeout.current());
            timeout.record(waited);
        }
    }
    answered
}

// Guards against giving up all calls on a full link, over which no answer arrives within the shortest
// timeout.
#[test]
fn slow_answers_of_all_executors_are_waited_for() {
    let mut timeout = AnswerTimeout::new(MIN, MAX);
    let latencies = [800, 1_000, 1_200, 1_400].map(Duration::from_millis);

    let answered = answered_in_time(&mut timeout, &latencies, 20);

    assert_eq!(answered, latencies.len(), "timeout {:?}", timeout.current());
}

// Guards against noticing broken connections late because a failure domain is cut off or most answers
// are lost.
#[test]
fn lost_answers_do_not_raise_the_timeout_while_others_are_prompt() {
    for lost in 1..=3 {
        let mut latencies = [PROMPT; 5];
        latencies[..lost].fill(Duration::MAX);
        let mut timeout = AnswerTimeout::new(MIN, MAX);

        answered_in_time(&mut timeout, &latencies, 1_000);

        assert!(timeout.current() < MIN * 2, "{:?}", timeout.current());
    }
}

// Guards against a timeout that stays long after a full link has emptied.
#[test]
fn prompt_answers_lower_the_timeout_again() {
    let mut timeout = AnswerTimeout::new(MIN, MAX);
    answered_in_time(&mut timeout, &[Duration::MAX], 100);
    let raised = timeout.current();

    answered_in_time(&mut timeout, &[PROMPT], 20);

    assert_eq!(raised, MAX);
    assert_eq!(timeout.current(), MIN);
}

// Guards against a timeout below the configured one where leases are short.
#[test]
fn a_maximum_below_the_minimum_keeps_the_timeout_constant() {
    let mut timeout = AnswerTimeout::new(MIN, Duration::ZERO);

    answered_in_time(&mut timeout, &[Duration::MAX], 100);

    assert_eq!(timeout.current(), MIN);
}
