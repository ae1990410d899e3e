//! Error-budget counts over time windows, and the rate limit on log lines of failed requests.

use std::time::Duration;

use dotterelhook_front::burn::BurnTracker;
use dotterelhook_front::metrics::LossLog;
use dotterelhook_front::request::Cause;
use dotterelhook_front::request::RequestError;
use dotterelhook_state::config::Objective;
use dotterelhook_types::ids::ServiceName;

const OBJECTIVE: Objective = Objective {
    latency_ms: 100,
    good_percent: 99.0,
};

fn service() -> ServiceName {
    "booking".parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn windows_forget_what_is_older_and_keep_causes() {
    let tracker = BurnTracker::default();
    for _ in 0..98 {
        tracker.record(&service(), OBJECTIVE, None);
    }
    tracker.record(&service(), OBJECTIVE, Some("slow"));
    tracker.record(&service(), OBJECTIVE, Some("queue-full"));
    let at_once = tracker.report();

    tokio::time::advance(Duration::from_secs(10 * 60)).await;
    let later = tracker.report();

    let short = &at_once[0].windows[0];
    assert_eq!((short.total, short.good), (100, 98));
    assert_eq!(short.bad_by_cause["queue-full"], 1);
    assert!((short.burn_rate(&OBJECTIVE).unwrap() - 2.0).abs() < 1e-9);
    assert_eq!(later[0].windows[0].total, 0);
    assert_eq!(later[0].windows[0].burn_rate(&OBJECTIVE), None);
    assert_eq!(later[0].windows[1].total, 100);
}

#[test]
fn windows_of_several_fronts_add_up() {
    let tracker = BurnTracker::default();
    tracker.record(&service(), OBJECTIVE, None);
    tracker.record(&service(), OBJECTIVE, Some("slow"));
    let window = tracker.report()[0].windows[0].clone();

    let mut sum = window.clone();
    sum.merge(&window);

    assert_eq!((sum.total, sum.good, sum.bad_by_cause["slow"]), (4, 2, 2));
}

#[tokio::test(start_paused = true)]
async fn a_cause_writes_one_line_a_second_and_tells_how_many_it_left_out() {
    let log = LossLog::default();
    let error = RequestError::not_run(Cause::QueueFull, "full");
    let other = RequestError::not_run(Cause::NoTarget, "none");

    let lines: Vec<bool> = (0..5).map(|_| log.line_if_due(&error).is_some()).collect();
    let of_other = log.line_if_due(&other);
    tokio::time::advance(Duration::from_secs(2)).await;
    let next = log.line_if_due(&error).unwrap();

    assert_eq!(lines, [true, false, false, false, false]);
    assert!(of_other.is_some());
    assert!(next.ends_with("4 more like this before"), "{next}");
}
