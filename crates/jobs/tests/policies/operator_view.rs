use std::time::Duration;

use dotterelhook_jobs::evacuation::Evacuations;
use dotterelhook_jobs::evacuation::OperatorView;
use tokio::time::Instant;

const EVACUATE_MAX: Duration = Duration::from_millis(5_000);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a start on a view that is older than half of the bound, also while the monotonic
/// clock stands still because the host is suspended.
#[test]
fn a_view_is_stale_half_the_bound_after_its_last_read_was_sent() {
    let view = OperatorView::new(Some(EVACUATE_MAX));
    let now = Instant::now();
    let is_stale = |since_boot| view.snapshot(now, seconds(since_boot)).is_stale(now);

    let before_any_read = is_stale(100.0);
    view.confirm(seconds(100.0));
    let seen = [100.0, 102.4, 102.5, 900.0].map(is_stale);
    view.confirm(seconds(99.0));
    let after_late_answer = is_stale(102.4);

    assert!(before_any_read);
    assert_eq!(seen, [false, false, true, true]);
    assert!(!after_late_answer);
}

/// Guards against a view that goes stale between two reads of a store that is slower by a factor of
/// 98, at 4 ms a call.
#[test]
fn reads_of_a_slow_store_keep_the_view_fresh() {
    let view = OperatorView::new(Some(EVACUATE_MAX));
    let latency = Duration::from_millis(4 * 98);

    let age_before_next_answer = (view.read_hold() + latency) * 2;

    assert!(age_before_next_answer < EVACUATE_MAX / 2);
}

/// Guards against a limit on the age in a deployment that sets no bound.
#[test]
fn without_a_bound_a_view_is_never_stale_but_evacuations_are_obeyed() {
    let view = OperatorView::new(None);
    let mut evacuations = Evacuations::default();
    evacuations.request("laguna".into(), seconds(1.0));
    view.replace(evacuations);
    let now = Instant::now();

    let snapshot = view.snapshot(now, seconds(9_000.0));

    let permitted = ["laguna", "quezon"].map(|domain| snapshot.permits_start(&domain.into(), now));
    assert_eq!(permitted, [false, true]);
    assert_eq!(view.read_hold(), Duration::from_millis(1_000));
}
