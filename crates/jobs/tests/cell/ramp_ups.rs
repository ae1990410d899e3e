//! New load on executors that are cold after their start, or that return after an evacuation.

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::cell::CellState;
use dotterelhook_jobs::cell::ColdLimits;
use dotterelhook_types::ids::Epoch;

use crate::fixture::CellHarness;
use crate::fixture::config;
use crate::fixture::job;
use crate::fixture::settings;
use crate::fixture::step;
use crate::fixture::submission;

const DOMAIN: &str = "laguna";

/// Places as many tasks of 1 core as are permitted and returns how many were started.
fn starts(harness: &mut CellHarness, id: &str) -> usize {
    harness.report(id, vec![], vec![]);
    harness.commit();
    harness.accept_starts(id).len()
}

fn submit(harness: &mut CellHarness, number: u64, count: u32) {
    let submitted = submission(vec![step(count, 1_000, &[])]);
    harness.cell.accept(job(number), submitted, harness.now);
}

/// Guards against all waiting work on an executor whose evacuation has just ended.
#[test]
fn new_load_rises_in_steps_after_an_evacuation() {
    let mut harness = CellHarness::new();
    harness.list_executor_in(DOMAIN, "i-1", 16_000);
    harness.evacuate(&[DOMAIN], None);
    submit(&mut harness, 1, 40);
    let during = starts(&mut harness, "i-1");

    harness.evacuate(&[], None);
    let mut after = Vec::new();
    for _ in 0..4 {
        after.push(starts(&mut harness, "i-1"));
        harness.advance(Duration::from_millis(1_000));
    }

    assert_eq!(during, 0);
    // Half of 16 cores while two of three seconds are left, then three quarters, then all.
    assert_eq!(after, [8, 4, 0, 4]);
}

#[test]
fn new_load_on_a_cold_executor_rises_with_the_time_that_is_left() {
    let mut harness = CellHarness::new();
    harness.list_cold_executor(DOMAIN, "i-1", 16_000, Duration::from_millis(5_000));
    submit(&mut harness, 1, 40);

    let mut placed = Vec::new();
    for _ in 0..6 {
        placed.push(starts(&mut harness, "i-1"));
        harness.advance(Duration::from_millis(990));
    }

    assert_eq!(placed.iter().sum::<usize>(), 16);
    assert_eq!(placed[0], 4);
    assert!(
        placed.iter().filter(|count| **count > 0).count() >= 4,
        "{placed:?}"
    );
}

/// Guards against a ramp-up that begins anew with each repeated entry, as after deleted history.
#[test]
fn a_repeated_entry_does_not_extend_the_cold_time() {
    let mut harness = CellHarness::new();
    let cold_left = Duration::from_millis(3_000);
    harness.list_cold_executor(DOMAIN, "i-1", 16_000, cold_left);
    submit(&mut harness, 1, 40);

    harness.advance(Duration::from_millis(2_000));
    harness.list_cold_executor(DOMAIN, "i-1", 16_000, cold_left);
    harness.advance(Duration::from_millis(1_000));

    assert_eq!(starts(&mut harness, "i-1"), 16);
}

#[test]
fn an_executor_that_is_neither_cold_nor_returning_is_filled_at_once() {
    let mut harness = CellHarness::new();
    harness.list_executor_in(DOMAIN, "i-1", 16_000);
    harness.evacuate(&["quezon"], None);
    harness.evacuate(&[], None);
    submit(&mut harness, 1, 40);

    assert_eq!(starts(&mut harness, "i-1"), 16);
}

#[test]
fn tasks_prefer_an_executor_that_is_not_cold() {
    let mut harness = CellHarness::new();
    // The smaller executor would be the better fit.
    harness.list_cold_executor(DOMAIN, "i-1", 2_000, Duration::from_secs(5));
    harness.list_executor_in(DOMAIN, "i-2", 16_000);
    harness.report("i-2", vec![], vec![]);
    submit(&mut harness, 1, 2);

    let cold = starts(&mut harness, "i-1");

    assert_eq!((cold, harness.accept_starts("i-2").len()), (0, 2));
}

/// Guards against more runs on a cold executor than 1.5 times its share and 5, the bounds of the
/// deployments.
#[test]
fn a_cold_executor_gets_no_more_than_its_limits_permit() {
    let limits = ColdLimits {
        overage: 1.5,
        burst: 5,
    };
    let settings = CellSettings {
        cold_limits: Some(limits),
        ..settings()
    };
    let mut harness = CellHarness::new();
    let (settings, now) = (Arc::new(settings), harness.now);
    harness.cell = CellState::new(settings, Epoch(7), config(3), now);
    harness.list_executor_in(DOMAIN, "i-2", 8_000);
    harness.list_cold_executor(DOMAIN, "i-1", 400_000, Duration::from_secs(5));
    harness.report("i-2", vec![], vec![]);
    harness.cell.relocate_runs(harness.now);
    submit(&mut harness, 1, 200);

    let cold = starts(&mut harness, "i-1");
    let others = harness.accept_starts("i-2").len();

    let share = (cold + others) as f64 / 2.0;
    assert_eq!(others, 8);
    assert!(cold > others, "{cold}");
    assert!(
        cold as f64 <= 1.5 * share + 5.0,
        "{cold} of a share of {share}"
    );
}
