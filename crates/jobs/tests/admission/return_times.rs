use std::time::Duration;

use dotterelhook_jobs::admission::return_time;

const SHORTEST: Duration = Duration::from_secs(1);
/// The attempts of a client, the first one included.
const ATTEMPTS: u32 = 5;

/// Returns the age of an outage at a client's last attempt, if its first one met the outage's begin.
fn last_attempt() -> Duration {
    let mut age = Duration::ZERO;
    for _ in 1..ATTEMPTS {
        age += return_time(SHORTEST, age);
    }
    age
}

#[test]
fn a_client_refused_without_an_outage_returns_after_the_shortest_time() {
    assert_eq!(return_time(SHORTEST, Duration::ZERO), SHORTEST);
}

#[test]
fn the_longer_the_outage_the_later_the_return_up_to_a_bound() {
    let ages_s = [0, 1, 2, 3, 4, 60];

    let returns_ms =
        ages_s.map(|age_s| return_time(SHORTEST, Duration::from_secs(age_s)).as_millis());

    assert_eq!(returns_ms, [1_000, 1_000, 2_000, 2_000, 2_000, 2_000]);
}

/// With a fixed time of 1 s the last attempt would meet an outage of 4 s.
#[test]
fn store_away_for_five_seconds_a_client_has_an_attempt_left_when_it_returns() {
    assert!(
        last_attempt() >= Duration::from_secs(5),
        "{:?}",
        last_attempt()
    );
}
