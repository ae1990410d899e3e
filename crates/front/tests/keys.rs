//! The table of idempotency keys, on a paused clock.
//!
//! Guards against answers of expired keys: under a key that was used again they would be repeated to
//! another caller, and their bytes would be counted for good.

use std::sync::Arc;
use std::time::Duration;

use dotterelhook_front::forward::BufferedAnswer;
use dotterelhook_front::idempotency::BeginOutcome;
use dotterelhook_front::idempotency::IdempotencyKey;
use dotterelhook_front::idempotency::InFlightKey;
use dotterelhook_front::idempotency::KeyTable;
use dotterelhook_types::Verdict;

const FINGERPRINT: u64 = 7;
const RETENTION: Duration = Duration::from_secs(10 * 60);

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey {
        service: "booking".parse().unwrap(),
        key: name.into(),
    }
}

fn answer(body: &[u8]) -> Arc<BufferedAnswer> {
    Arc::new(BufferedAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.to_vec(),
        verdict: Verdict::Ran,
        cause: None,
    })
}

fn begin(table: &Arc<KeyTable>, name: &str) -> InFlightKey {
    match table.begin(key(name), FINGERPRINT) {
        Ok(BeginOutcome::First(in_flight)) => in_flight,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn the_answer_of_an_expired_request_is_not_repeated_under_its_key() {
    let table = Arc::new(KeyTable::default());
    let expired = begin(&table, "a");
    tokio::time::advance(RETENTION).await;
    let second = begin(&table, "a");

    expired.complete(&answer(b"the first"));
    let while_running = table.begin(key("a"), FINGERPRINT);
    second.complete(&answer(b"the second"));
    let repeated = table.begin(key("a"), FINGERPRINT);

    let conflict = while_running.expect_err("the second request runs");
    assert_eq!(conflict.verdict, Verdict::MayHaveRun);
    let Ok(BeginOutcome::Answered(repeated)) = repeated else {
        panic!("{repeated:?}");
    };
    assert_eq!(&repeated.body[..], b"the second");
}

#[tokio::test(start_paused = true)]
async fn the_bytes_of_expired_requests_are_not_counted() {
    const ROUNDS: usize = 40;
    let table = Arc::new(KeyTable::default());
    let large = answer(&vec![0; 1 << 20]);
    for _ in 0..ROUNDS {
        let expired = begin(&table, "a");
        tokio::time::advance(RETENTION).await;
        let second = begin(&table, "a");
        expired.complete(&large);
        second.complete(&large);
        tokio::time::advance(RETENTION).await;
    }

    begin(&table, "b").complete(&large);
    let repeated = table.begin(key("b"), FINGERPRINT);

    assert!(
        matches!(repeated, Ok(BeginOutcome::Answered(_))),
        "{repeated:?}"
    );
}
