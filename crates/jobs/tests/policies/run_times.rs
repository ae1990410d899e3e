use std::time::Duration;

use dotterelhook_jobs::model::QueueName;
use dotterelhook_jobs::policy::LearnedRunTime;
use dotterelhook_jobs::policy::RunTimeRatio;
use dotterelhook_jobs::policy::RunTimeRatios;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The estimate of each run.
const ESTIMATE_MS: u64 = 1_000;

fn queue() -> QueueName {
    "plans".into()
}

fn learn(ratios: impl IntoIterator<Item = f64>) -> RunTimeRatios {
    let mut learned = RunTimeRatios::default();
    for ratio in ratios {
        learned.record(
            &queue(),
            ESTIMATE_MS,
            Duration::from_millis(ESTIMATE_MS).mul_f64(ratio),
        );
    }
    learned
}

/// Guards against an order that follows a few first runs, such as those of cold executors.
#[test]
fn new_owner_with_few_runs_uses_the_estimates_of_clients() {
    let few = learn([3.0; 19]).ratio(&queue());
    let enough = learn([3.0; 20]).ratio(&queue());

    assert_eq!(few, RunTimeRatio::default());
    assert!((enough.typical - 3.0).abs() < 0.01, "{enough:?}");
}

/// Guards against estimates of all jobs that rise because of a few slow tasks. The bound is a tenth:
/// that moves the slack of a quick job by less than 80 ms, a quarter of its fixed target.
#[test]
fn three_percent_of_tasks_that_take_seven_times_as_long_hardly_move_the_typical_run_time() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let ratios = (0..1_000).map(|_| {
            let usual: f64 = random.random_range(0.9..1.1);
            if random.random_bool(0.03) {
                7.0 * usual
            } else {
                usual
            }
        });

        let ratio = learn(ratios).ratio(&queue());

        assert!(
            (0.9..1.1).contains(&ratio.typical),
            "seed {seed}: {ratio:?}"
        );
    }
}

/// Guards against a ratio that follows single runs where estimates are off by up to 0.9, and against
/// one that misses a bias of all clients.
#[test]
fn estimates_off_by_nine_tenths_and_too_low_by_half_give_a_steady_ratio_and_a_wide_spread() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let ratios = (0..1_000).map(|_| 2.0 / random.random_range(0.1..1.9));

        let ratio = learn(ratios).ratio(&queue());

        // The mean of -ln(x) for x from 0.1 to 1.9 is 0.194, and its deviation is 0.73.
        assert!(
            (2.0..2.9).contains(&ratio.typical),
            "seed {seed}: {ratio:?}"
        );
        assert!((1.5..2.4).contains(&ratio.spread), "seed {seed}: {ratio:?}");
    }
}

/// Guards against a ratio of an hour ago after the tasks of a queue have changed.
#[test]
fn load_whose_run_times_halve_is_learned_again() {
    let ratio = learn(std::iter::repeat_n(1.0, 1_000).chain([0.5; 600])).ratio(&queue());

    assert!((0.48..0.55).contains(&ratio.typical), "{ratio:?}");
}

/// Guards against figures that break the order of all jobs after a corrupt record.
#[test]
fn restored_figures_that_no_run_can_give_are_ignored() {
    let mut learned = RunTimeRatios::default();
    let entry = |mean_ln, variance_ln| LearnedRunTime {
        queue: queue(),
        samples: u32::MAX,
        mean_ln,
        variance_ln,
    };

    learned.restore(vec![
        entry(f64::NAN, 0.1),
        entry(0.1, f64::NAN),
        entry(40.0, 0.1),
        entry(0.1, -1.0),
    ]);
    learned.record(&queue(), 0, Duration::from_secs(1));
    learned.record(&queue(), ESTIMATE_MS, Duration::ZERO);

    assert_eq!(learned.ratio(&queue()), RunTimeRatio::default());
}
