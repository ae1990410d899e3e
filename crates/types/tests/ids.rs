//! Ids and amounts reject malformed text and round-trip through their text form. Verdicts decide
//! which requests are retried.

use dotterelhook_types::Verdict;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::Resources;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn names_outside_the_alphabet_are_refused() {
    for text in [
        "",
        "A",
        "a b",
        "a/b",
        "-a",
        ".a",
        "a:b",
        "ä",
        &"a".repeat(64),
    ] {
        let parsed = text.parse::<TeamName>();

        assert!(parsed.is_err(), "{text:?} was accepted");
    }
}

#[test]
fn a_path_belongs_to_its_first_segment() {
    let path: ConfigPath = "booking/services/booking".parse().unwrap();

    assert_eq!(path.team().as_str(), "booking");
    for text in [
        "booking",
        "booking/",
        "/booking",
        "a//b",
        "a/../b/C",
        "a/b/c/d/e/f/g/h/i",
    ] {
        assert!(text.parse::<ConfigPath>().is_err(), "{text:?} was accepted");
    }
}

#[test]
fn only_a_request_that_did_not_run_is_retried_always() {
    let table = [
        (Verdict::NotRun, true, true),
        (Verdict::MayHaveRun, true, false),
        (Verdict::Ran, false, false),
    ];
    for (verdict, idempotent, non_idempotent) in table {
        assert_eq!(verdict.allows_retry(true), idempotent, "{verdict}");
        assert_eq!(verdict.allows_retry(false), non_idempotent, "{verdict}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    #[test]
    fn attempts_parse_what_they_print(run in "[a-z0-9][a-z0-9._-]{0,62}", index: u32, number: u32) {
        let run: RunId = run.parse().unwrap();
        let attempt = AttemptId { task: dotterelhook_types::ids::TaskId { run, index }, number };

        let parsed: AttemptId = attempt.to_string().parse().unwrap();

        prop_assert_eq!(parsed, attempt);
    }

    #[test]
    fn amounts_parse_what_they_print(amount: u64) {
        prop_assert_eq!(CpuMilli(amount).to_string().parse(), Ok(CpuMilli(amount)));
    }

    #[test]
    fn what_fits_leaves_no_less_than_nothing(cpu in 0_u64..100, memory in 0_u64..100) {
        let (capacity, size) = (Resources::new(50, 50), Resources::new(cpu, memory));

        let sum = capacity.saturating_sub(&size).saturating_add(&size);

        prop_assert_eq!(size.fits_in(&capacity), sum == capacity);
    }
}
