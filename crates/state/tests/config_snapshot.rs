//! Snapshots in several parts must survive reordered, repeated, missing and malformed parts and
//! interleaved writers.

mod fixture;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_state::config::split_snapshot;
use fixture::append;
use fixture::change;
use fixture::job;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with the given number of jobs. With 1,300 jobs, a snapshot needs several
/// parts.
fn large_state(paths: u64) -> ConfigState {
    let mut state = ConfigState::default();
    for number in 0..paths {
        let path = format!("team-{}/jobs/job-{number}", number % 10);
        let writer = format!("writer-{number}");
        let base = number.checked_sub(1);
        let added = change(&writer, &path, base, Some(job(1_000 + number)));
        append(&mut state, &added.payload()).expect("a new path");
    }
    state
}

fn snapshot_texts(state: &ConfigState, writer: &str) -> Vec<String> {
    let parts = split_snapshot(state, writer, 1);
    let texts = parts.iter().map(serde_json::to_string);
    texts.collect::<Result<_, _>>().expect("plain data")
}

fn assemble(parts: &[String]) -> Vec<ConfigState> {
    let mut assembler = SnapshotAssembler::default();
    let read = parts
        .iter()
        .filter_map(|part| assembler.add(part).ok().flatten());
    read.map(|read| read.state).collect()
}

#[test]
fn a_large_snapshot_has_several_parts() {
    let state = large_state(1_300);

    let parts = snapshot_texts(&state, "one");

    assert!(parts.len() > 1, "{}", parts.len());
    assert!(parts.iter().all(|part| part.len() < 256 << 10));
    assert_eq!(assemble(&parts), [state]);
}

#[test]
fn a_writer_that_dies_half_way_changes_nothing() {
    let state = large_state(1_300);
    let dead = snapshot_texts(&state, "dead");
    let alive = snapshot_texts(&state, "alive");
    let mut records = dead[..dead.len() - 1].to_vec();
    records.extend(alive);

    let read = assemble(&records);

    assert_eq!(read, [state]);
}

#[test]
fn malformed_parts_are_refused_and_the_next_snapshot_is_read() {
    let state = large_state(20);
    let good = snapshot_texts(&state, "one");
    let bad = [
        "".to_owned(),
        "{".to_owned(),
        good[0][..good[0].len() / 2].to_owned(),
        good[0].replace("\"part\":0", "\"part\":7"),
        good[0].replace("\"part_count\":1", "\"part_count\":0"),
        good[0].replace("\"cpu_milli\":1005", "\"cpu_milli\":0"),
        good[0].replace("\"items\"", "\"item\""),
    ];
    for text in bad {
        let mut assembler = SnapshotAssembler::default();

        let refused = assembler.add(&text);
        let read = assembler.add(&good[0]);

        assert!(refused.is_err(), "{text:.60}");
        assert_eq!(
            read.ok().flatten().map(|read| read.state),
            Some(state.clone())
        );
    }
}

#[test]
fn many_writers_that_die_half_way_take_a_bounded_room() {
    let state = large_state(1_300);
    let whole = snapshot_texts(&state, "alive");
    let mut records = Vec::new();
    for number in 0..100 {
        records.push(snapshot_texts(&state, &format!("dead-{number}"))[0].clone());
    }
    records.extend(whole);

    let read = assemble(&records);

    assert_eq!(read, [state]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parts_of_two_writers_in_any_order_with_repeats_give_the_state(
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let state = large_state(700);
        let mut parts = snapshot_texts(&state, "one");
        parts.extend(snapshot_texts(&state, "two"));
        let mut records: Vec<String> = order.iter().map(|at| at.get(&parts).clone()).collect();
        records.extend(parts);

        let read = assemble(&records);

        prop_assert!(!read.is_empty());
        prop_assert!(read.iter().all(|read| *read == state));
    }

    #[test]
    fn arbitrary_text_is_refused(text in ".{0,200}") {
        let mut assembler = SnapshotAssembler::default();

        let result = assembler.add(&text);

        prop_assert!(result.is_err());
    }
}
