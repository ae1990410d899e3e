use std::time::Duration;

use dotterelhook_jobs::ledger::JobProgress;
use dotterelhook_jobs::ledger::TaskProgress;
use dotterelhook_jobs::ledger::TaskStatus;
use dotterelhook_jobs::ledger::decode;
use dotterelhook_jobs::ledger::decode_submission;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::model::ExecutorKey;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::ownership::submission_partition_at;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::NewestPage;
use dotterelhook_jobs::platform::ReadPage;
use dotterelhook_jobs::platform::StoreError;
use dotterelhook_jobs::store_access::ChangeFeed;
use dotterelhook_jobs::store_access::FeedBatch;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_jobs::store_access::time_since_boot;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::fake_store::FakeStore;

#[test]
fn the_store_is_slow_while_its_small_calls_take_many_times_as_long() {
    let health = StoreHealth::default();
    let observe = |ms: u64, times: usize| {
        for _ in 0..times {
            health.record_latency(Duration::from_millis(ms));
        }
        health.is_slow()
    };

    let seen = [
        observe(8, 5),
        observe(170, 1),
        observe(170, 1),
        observe(8, 1),
        observe(8, 3),
    ];

    assert_eq!(seen, [false, true, true, true, false]);
}

#[test]
fn the_store_is_lost_after_three_failures_and_regained_by_one_answer() {
    let health = StoreHealth::default();

    health.record_failure(&"silent");
    health.record_failure(&"silent");
    let before = health.is_unreachable();
    health.record_failure(&"silent");
    let after = health.is_unreachable();
    health.record_answer(time_since_boot());

    assert!(!before && after && !health.is_unreachable());
    assert!(health.time_since_contact() < Duration::from_secs(1));
}

fn progress() -> JobProgress {
    let executor = ExecutorKey {
        id: "i-1".into(),
        incarnation: Incarnation(1_700_000_000_123),
    };
    JobProgress {
        outcome: Some(JobState::Cancelled),
        tasks: vec![
            TaskProgress::default(),
            TaskProgress {
                status: TaskStatus::Placed(executor),
                run: RunNumber(3),
                failures: 2,
                checkpoint: Some("saved".into()),
            },
        ],
    }
}

#[test]
fn progress_is_read_as_it_was_written() {
    let written = encode(&progress()).expect("encoded");

    assert_eq!(decode::<JobProgress>(&written), Ok(progress()));
}

#[test]
fn a_cut_record_is_refused() {
    let written = encode(&progress()).expect("encoded");

    for length in 0..written.len() {
        assert!(
            decode::<JobProgress>(&written[..length]).is_err(),
            "{length} bytes"
        );
    }
}

/// Guards against an allocation of whatever size a corrupt record claims, which ends the process.
#[test]
fn a_record_that_claims_a_huge_text_is_refused() {
    const LAYOUT: u8 = 1;
    const LENGTH_OF_8_BYTES: u8 = 253;
    let length = 4_744_906_493_660_591_314_u64.to_le_bytes();
    let record: Vec<u8> = [LAYOUT, LENGTH_OF_8_BYTES]
        .into_iter()
        .chain(length)
        .collect();

    let decoded = decode::<Submission>(&record);

    assert!(decoded.is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(71), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<JobProgress>(&bytes);
        let _ = decode::<Submission>(&bytes);
        let _ = decode_submission(&bytes);
    }
}

fn snapshot(end: u64, keys: &[&str]) -> NewestPage {
    let records = keys.iter().map(|key| KeyedRecord {
        key: (*key).into(),
        value: "entry".into(),
    });
    NewestPage {
        records: records.collect(),
        has_more: false,
        end_offset: Offset(end),
    }
}

/// Guards against a server that has left and is in use again: a store that has deleted its history
/// answers with an older state.
#[tokio::test]
async fn a_feed_takes_no_snapshot_that_is_older_than_what_it_has_read() {
    let left = ReadPage {
        records: vec![KeyedRecord {
            key: "i-1".into(),
            value: "".into(),
        }],
        next_offset: Offset(11),
        end_offset: Offset(11),
    };
    let snapshots = vec![
        snapshot(10, &["i-1", "i-2"]),
        snapshot(10, &["i-1", "i-2"]),
        snapshot(12, &["i-2"]),
    ];
    let reads = vec![
        Ok(left),
        Err(StoreError::Expired),
        Err(StoreError::Expired),
        Ok(ReadPage {
            records: Vec::new(),
            next_offset: Offset(3),
            end_offset: Offset(3),
        }),
        Err(StoreError::Expired),
    ];
    let store = FakeStore::with_reads(snapshots, reads);
    let partition = submission_partition_at(0);
    let mut feed = ChangeFeed::new(store, partition);

    let mut batches = Vec::new();
    for _ in 0..4 {
        batches.push(feed.next(Duration::ZERO).await);
    }
    let after_an_older_page = feed.next(Duration::ZERO).await;

    assert!(matches!(batches[0], Ok(FeedBatch::Snapshot(_))));
    assert!(matches!(batches[1], Ok(FeedBatch::Changes(_))));
    assert!(batches[2].is_err(), "{:?}", batches[2]);
    let Ok(FeedBatch::Snapshot(newer)) = &batches[3] else {
        panic!("{:?}", batches[3]);
    };
    assert_eq!(newer.len(), 1);
    assert!(after_an_older_page.is_err(), "{after_an_older_page:?}");
}
