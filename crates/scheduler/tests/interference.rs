//! Interference control and the learned weights.
//!
//! Guards against actions on attempts that do not cause a slowdown, repeated actions before a
//! delayed sample shows the effect of the first, placement beside services that a job slows down,
//! and jobs kept from workers by noise alone.

use dotterelhook_scheduler::interference::Action;
use dotterelhook_scheduler::interference::ActionKind;
use dotterelhook_scheduler::interference::ColocatedAttempt;
use dotterelhook_scheduler::interference::InterferenceController;
use dotterelhook_scheduler::interference::LastInFirstOut;
use dotterelhook_scheduler::interference::LearnedPairs;
use dotterelhook_scheduler::interference::LearnedPairsSettings;
use dotterelhook_scheduler::interference::PairKey;
use dotterelhook_scheduler::interference::PairTable;
use dotterelhook_scheduler::interference::ServiceSample;
use dotterelhook_scheduler::interference::StaticReservation;
use dotterelhook_scheduler::placement::JobKey;
use dotterelhook_types::ids::WorkerId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BASELINE_US: f64 = 10_000.0;
const HOUR_MS: u64 = 3_600_000;

fn worker(index: usize) -> WorkerId {
    format!("worker-{index}").parse().unwrap()
}

fn job(name: &str) -> JobKey {
    JobKey {
        team: "team".parse().unwrap(),
        job: name.parse().unwrap(),
    }
}

fn pair(service: &str, name: &str) -> PairKey {
    PairKey {
        service: service.parse().unwrap(),
        job: job(name),
    }
}

fn colocated(name: &str, index: u32, now_ms: u64) -> ColocatedAttempt {
    let attempt = format!("run:{index}:1").parse().unwrap();
    ColocatedAttempt::new(attempt, job(name), 0.1, now_ms)
}

fn sample(worker_index: usize, measured_at_ms: u64, slowdown: f64) -> ServiceSample {
    ServiceSample {
        worker: worker(worker_index),
        service: "previews".parse().unwrap(),
        measured_at_ms,
        latency_us: BASELINE_US * slowdown,
        load: 1.0,
    }
}

/// Returns a controller that has learned that `noisy` slows down previews and `calm` does not.
fn trained_controller() -> LearnedPairs {
    let mut controller = LearnedPairs::new(LearnedPairsSettings::default());
    for at in 0..40 {
        controller.record_sample(&sample(0, at, 1.0));
    }
    controller.record_start(&worker(1), colocated("noisy", 100, 0));
    controller.record_start(&worker(2), colocated("calm", 101, 0));
    for at in 0..40 {
        controller.record_sample(&sample(0, 100 + at, 1.0));
        controller.record_sample(&sample(1, 100 + at, 1.5));
        controller.record_sample(&sample(2, 100 + at, 1.0));
    }
    controller.record_end(&worker(1), &colocated("noisy", 100, 0).attempt, 200);
    controller.record_end(&worker(2), &colocated("calm", 101, 0).attempt, 200);
    controller.next_actions(300);
    controller
}

fn kinds(actions: &[Action]) -> Vec<(String, ActionKind)> {
    let id_and_kind = |action: &Action| (action.attempt.to_string(), action.kind);
    actions.iter().map(id_and_kind).collect()
}

#[test]
fn the_likeliest_suspect_is_throttled_then_evicted_one_step_for_each_lag() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("noisy", 1, 1_000));
    controller.record_start(&worker(0), colocated("calm", 2, 1_500));

    controller.record_sample(&sample(0, 2_000, 1.5));
    let first = controller.next_actions(10_000);
    controller.record_action(&worker(0), &first[0].attempt, first[0].kind, 10_000);
    controller.record_sample(&sample(0, 9_000, 1.5));
    let before_effect = controller.next_actions(11_000);
    controller.record_sample(&sample(0, 12_000, 1.5));
    let second = controller.next_actions(20_000);

    assert_eq!(kinds(&first), [("run:1:1".into(), ActionKind::Throttle)]);
    assert_eq!(before_effect, [], "measured before the action");
    assert_eq!(kinds(&second), [("run:1:1".into(), ActionKind::Evict)]);
}

#[test]
fn the_newest_of_two_equal_suspects_is_chosen() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("noisy", 1, 1_000));
    controller.record_start(&worker(0), colocated("noisy", 2, 1_500));

    controller.record_sample(&sample(0, 2_000, 2.0));
    let actions = controller.next_actions(10_000);

    assert_eq!(kinds(&actions), [("run:2:1".into(), ActionKind::Throttle)]);
}

#[test]
fn an_attempt_that_started_after_the_measurement_is_no_suspect() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("noisy", 1, 5_000));

    controller.record_sample(&sample(0, 2_000, 2.0));

    assert_eq!(controller.next_actions(10_000), []);
}

#[test]
fn nothing_is_done_when_no_attempt_is_to_blame() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("calm", 1, 1_000));

    controller.record_sample(&sample(0, 2_000, 1.3));

    assert_eq!(controller.next_actions(10_000), []);
}

#[test]
fn a_throttled_attempt_is_released_once_there_is_room_for_it() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("calm", 1, 1_000));
    let attempt = colocated("calm", 1, 0).attempt;
    controller.record_action(&worker(0), &attempt, ActionKind::Throttle, 1_000);

    controller.record_sample(&sample(0, 2_000, 1.0));
    let actions = controller.next_actions(10_000);

    assert_eq!(kinds(&actions), [("run:1:1".into(), ActionKind::Release)]);
}

#[test]
fn placement_keeps_a_bad_pair_apart_until_the_score_has_decayed() {
    let mut controller = trained_controller();

    assert!(!controller.allows(&worker(0), &job("noisy"), 0.1));
    assert!(controller.allows(&worker(0), &job("calm"), 0.1));

    controller.next_actions(24 * HOUR_MS);
    assert!(controller.allows(&worker(0), &job("noisy"), 0.1));
}

#[test]
fn noise_does_not_keep_harmless_jobs_away() {
    /// Index of the only worker without batch work.
    const IDLE_WORKER: usize = 4;
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut controller = LearnedPairs::new(LearnedPairsSettings::default());
    for worker_index in 0..IDLE_WORKER {
        controller.record_sample(&sample(worker_index, 0, 1.0));
        for (index, name) in names.iter().enumerate() {
            let id = (worker_index * names.len() + index) as u32;
            controller.record_start(&worker(worker_index), colocated(name, id, 0));
        }
    }
    let noise = [1.2, 0.8, 1.1, 0.9, 1.0, 1.15, 0.85];

    for round in 1..500 {
        for worker_index in 0..=IDLE_WORKER {
            let slowdown = noise[(3 * round + 5 * worker_index) % noise.len()];
            controller.record_sample(&sample(worker_index, round as u64, slowdown));
        }
    }
    controller.next_actions(1_000);

    for name in names {
        assert!(controller.allows(&worker(0), &job(name), 0.1), "{name}");
    }
}

#[test]
fn an_unknown_pair_is_tried_on_a_few_attempts_only() {
    let mut controller = trained_controller();
    let trials_max = LearnedPairsSettings::default().trials_max as u32;
    for index in 0..trials_max {
        assert!(controller.allows(&worker(0), &job("new"), 0.1));
        controller.record_start(&worker(0), colocated("new", index, 1_000));
    }

    assert!(!controller.allows(&worker(1), &job("new"), 0.1));

    controller.record_end(&worker(0), &colocated("new", 0, 0).attempt, 2_000);
    assert!(controller.allows(&worker(1), &job("new"), 0.1));
}

#[test]
fn a_worker_that_is_gone_leaves_nothing_behind() {
    let mut controller = trained_controller();
    controller.record_start(&worker(0), colocated("noisy", 1, 1_000));
    controller.record_sample(&sample(0, 2_000, 2.0));

    controller.remove_worker(&worker(0));

    assert_eq!(controller.next_actions(10_000), []);
    assert!(controller.allows(&worker(0), &job("noisy"), 0.1));
}

#[test]
fn a_full_table_keeps_the_bias_of_a_service_that_it_knows() {
    let weights = [1, 100].map(|pairs_max| {
        let mut controller = LearnedPairs::new(LearnedPairsSettings {
            pairs_max,
            ..LearnedPairsSettings::default()
        });
        controller.record_sample(&sample(0, 0, 1.0));
        for at in 1..600 {
            controller.record_sample(&sample(0, at, 1.2));
        }
        controller.record_start(&worker(0), colocated("calm", 1, 600));
        for at in 601..650 {
            controller.record_sample(&sample(0, at, 1.2));
        }
        controller.table().weight(&pair("previews", "calm"), 650)
    });

    assert_eq!(weights[0], weights[1]);
}

#[test]
fn a_worker_whose_service_changed_is_judged_by_the_new_one() {
    let mut controller = trained_controller();
    let of_other_service = ServiceSample {
        service: "checkout".parse().unwrap(),
        ..sample(0, 1_000, 1.0)
    };

    controller.record_sample(&of_other_service);

    // The pair of the new service and the job has no sample, so the job may be tried.
    assert!(controller.allows(&worker(0), &job("noisy"), 0.5));
    assert!(!controller.allows(&worker(2), &job("noisy"), 0.5));
}

#[test]
fn last_in_first_out_evicts_the_youngest_once_for_each_lag() {
    let mut controller = LastInFirstOut::new(0.1);
    controller.record_start(&worker(0), colocated("a", 1, 1_000));
    controller.record_start(&worker(0), colocated("b", 2, 1_500));
    controller.record_sample(&sample(1, 2_000, 1.0));

    controller.record_sample(&sample(0, 2_000, 1.5));
    let first = controller.next_actions(10_000);
    controller.record_end(&worker(0), &first[0].attempt, 10_000);
    controller.record_sample(&sample(0, 9_000, 1.5));

    assert_eq!(kinds(&first), [("run:2:1".into(), ActionKind::Evict)]);
    assert_eq!(controller.next_actions(11_000), []);
}

#[test]
fn a_static_reservation_keeps_its_share() {
    let mut controller = StaticReservation::new(0.25);

    controller.record_start(&worker(0), colocated("a", 1, 0));
    controller.record_start(&worker(0), colocated("a", 2, 0));

    assert!(!controller.allows(&worker(0), &job("a"), 0.1));
    assert!(controller.allows(&worker(1), &job("a"), 0.1));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(64), ..ProptestConfig::default() })]

    #[test]
    fn the_score_comes_close_to_the_true_slowdown(
        true_weights in prop::collection::vec(0.0_f64..5.0, 3),
        shares in prop::collection::vec(prop::collection::vec(0.02_f64..0.3, 3), 20),
    ) {
        let pairs = ["a", "b", "c"].map(|name| pair("previews", name));
        let mut table = PairTable::new(10, HOUR_MS);

        for round in 0..4_000 {
            let mix = &shares[round % shares.len()];
            let only = round % 4;
            let present: Vec<usize> = (0..3).filter(|index| only == 3 || *index == only).collect();
            let excess = present.iter().map(|index| true_weights[*index] * mix[*index]).sum();
            let measured: Vec<_> = present.iter().map(|i| (pairs[*i].clone(), mix[*i])).collect();
            table.learn(&measured, excess, 0);
        }

        for (index, pair) in pairs.iter().enumerate() {
            let error = (table.weight(pair, 0) - true_weights[index]).abs();
            prop_assert!(error < 0.25, "{} is not {}", table.weight(pair, 0), true_weights[index]);
        }
    }

    #[test]
    fn the_table_stays_within_its_bound(jobs in prop::collection::vec(0_u32..50, 1..200)) {
        let mut table = PairTable::new(8, HOUR_MS);
        for (at_ms, index) in jobs.iter().enumerate() {
            table.learn(&[(pair("previews", &format!("job-{index}")), 0.1)], 0.5, at_ms as u64);

            prop_assert!(table.len() <= 8);
        }
        let newest = pair("previews", &format!("job-{}", jobs[jobs.len() - 1]));
        prop_assert!(table.samples(&newest) > 0);
    }
}
