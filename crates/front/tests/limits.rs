//! Shares of slots, the retry budget, admission by priority and ejection of targets.
//!
//! Guards against fronts that together exceed a target's slots while they observe each other's
//! starts and stops at different times.

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_front::limit::AdmissionControl;
use dotterelhook_front::limit::RetryBudget;
use dotterelhook_front::target::AttemptOutcome;
use dotterelhook_front::target::FrontGroup;
use dotterelhook_front::target::FrontGroupTracker;
use dotterelhook_front::target::HOLD_DOWN;
use dotterelhook_front::target::HealthState;
use dotterelhook_front::target::TargetHealth;
use dotterelhook_front::target::slot_share;
use dotterelhook_types::ids::TargetId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const FRONTS_MAX: usize = 8;
const STEP_MS: u64 = 200;

fn seeded(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn target(number: u32) -> TargetId {
    format!("target-{number}").parse().unwrap()
}

/// The lifetime of one front, with the delays after which each front observes its start and end.
#[derive(Clone, Debug)]
struct Lifetime {
    start_ms: u64,
    end_ms: u64,
    delays_ms: Vec<(u64, u64)>,
}

impl Lifetime {
    fn is_live(&self, at_ms: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&at_ms)
    }

    fn is_observed_by(&self, observer: usize, at_ms: u64) -> bool {
        let (start_delay_ms, end_delay_ms) = self.delays_ms[observer];
        (self.start_ms + start_delay_ms..self.end_ms + end_delay_ms).contains(&at_ms)
    }

    fn is_new(&self, at_ms: u64) -> bool {
        at_ms < self.start_ms + HOLD_DOWN.as_millis() as u64
    }
}

fn lifetimes() -> impl Strategy<Value = Vec<Lifetime>> {
    let delay_ms = 0..HOLD_DOWN.as_millis() as u64 - STEP_MS;
    let delays = prop::collection::vec((delay_ms.clone(), delay_ms), FRONTS_MAX);
    let life =
        (0_u64..40_000, 0_u64..60_000, delays).prop_map(|(start_ms, length_ms, delays)| Lifetime {
            start_ms,
            end_ms: start_ms + length_ms,
            delays_ms: delays,
        });
    prop::collection::vec(life, 1..=FRONTS_MAX)
}

proptest! {
    #![proptest_config(seeded(51))]

    #[test]
    fn shares_of_one_view_sum_up_to_the_slots(
        fronts in 1_usize..=64,
        slots in 0_usize..=64,
        number in 0_u32..100,
    ) {
        let target = target(number);

        let groups = (0..fronts).map(|rank| FrontGroup {
            size: fronts,
            rank,
            names_hash: 0,
            is_settled: true,
        });
        let sum: usize = groups.map(|group| slot_share(slots, &target, group)).sum();

        prop_assert_eq!(sum, slots);
    }

    #[test]
    fn shares_of_late_views_exceed_the_slots_only_by_those_of_new_fronts(
        lives in lifetimes(),
        number in 0_u32..100,
    ) {
        let slots = 8;
        let target = target(number);
        let begin = Instant::now();
        let mut trackers: Vec<Option<FrontGroupTracker>> = lives.iter().map(|_| None).collect();

        for at_ms in (0..110_000).step_by(STEP_MS as usize) {
            let now = begin + Duration::from_millis(at_ms);
            let mut sum = 0;
            let mut new_fronts = 0;
            for (index, life) in lives.iter().enumerate().filter(|(_, life)| life.is_live(at_ms)) {
                let is_observed = |other: &usize| lives[*other].is_observed_by(index, at_ms);
                let others: Vec<usize> = (0..lives.len())
                    .filter(|other| *other != index)
                    .filter(is_observed)
                    .collect();
                let rank = others.iter().filter(|other| **other < index).count();
                let names_hash = others.iter().map(|other| 1 << other).sum();
                let group = FrontGroup {
                    size: others.len() + 1,
                    rank,
                    names_hash,
                    is_settled: false,
                };
                let tracker = trackers[index]
                    .get_or_insert_with(|| FrontGroupTracker::new(FRONTS_MAX, now));
                sum += slot_share(slots, &target, tracker.observe(group, now));
                new_fronts += usize::from(life.is_new(at_ms));
            }

            prop_assert!(
                sum <= slots + new_fronts * (slots / FRONTS_MAX),
                "{} at {} ms",
                sum,
                at_ms
            );
        }
    }

    #[test]
    fn retries_stay_below_a_tenth_of_fresh_requests(
        acts in prop::collection::vec(any::<bool>(), 1..2_000),
    ) {
        let budget = RetryBudget::default();
        let mut first_attempts = 0;
        let mut retries = 0;

        for is_first in acts {
            if is_first {
                budget.deposit();
                first_attempts += 1;
            } else {
                retries += usize::from(budget.try_withdraw());
            }

            prop_assert!(retries <= 1 + first_attempts / 10);
        }
    }
}

#[test]
fn low_priorities_are_refused_first() {
    let admission = Arc::new(AdmissionControl::new(100));

    let low: Vec<_> = std::iter::from_fn(|| admission.try_admit(0)).collect();
    let high: Vec<_> = std::iter::from_fn(|| admission.try_admit(9)).collect();

    assert_eq!(low.len(), 50);
    assert_eq!(high.len(), 50);
    assert!(admission.try_admit(0).is_none());
    drop(high);
    assert!(admission.try_admit(0).is_none());
    assert!(admission.try_admit(1).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_failing_target_gets_one_probe_at_a_time_after_ever_longer_pauses() {
    let mut health = TargetHealth::default();
    for _ in 0..20 {
        health.report(AttemptOutcome::Failed, Instant::now());
    }
    assert!(health.should_eject(None));
    health.eject(Instant::now());
    let mut probes = 0;

    for _ in 0..600 {
        tokio::time::advance(Duration::from_secs(1)).await;
        let now = Instant::now();
        if health.concurrency_limit(8, now) > 0 {
            assert_eq!(health.concurrency_limit(8, now), 1);
            health.report(AttemptOutcome::Failed, now);
            probes += 1;
        }
    }

    assert!((5..=20).contains(&probes), "{probes} probes in ten minutes");
}

#[tokio::test(start_paused = true)]
async fn a_recovered_target_returns_after_its_probes() {
    let mut health = TargetHealth::default();
    health.eject(Instant::now());
    tokio::time::advance(Duration::from_secs(10)).await;
    let latency = Duration::from_millis(5);

    for _ in 0..3 {
        assert_eq!(health.concurrency_limit(8, Instant::now()), 1);
        health.report(AttemptOutcome::Success { latency }, Instant::now());
    }

    assert_eq!(health.state(Instant::now()), HealthState::Healthy);
    assert_eq!(health.concurrency_limit(8, Instant::now()), 8);
}

#[tokio::test(start_paused = true)]
async fn a_target_that_fails_fast_is_ejected_for_its_failures_and_a_slow_one_for_its_latency() {
    let mut fast = TargetHealth::default();
    let mut slow = TargetHealth::default();
    for _ in 0..100 {
        fast.report(AttemptOutcome::Failed, Instant::now());
        let latency = Duration::from_millis(100);
        slow.report(AttemptOutcome::Success { latency }, Instant::now());
    }

    assert!(fast.should_eject(Some(5.0)));
    assert!(slow.should_eject(Some(5.0)));
    assert!(!slow.should_eject(Some(50.0)));
}
