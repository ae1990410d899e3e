use dotterelhook_jobs::ledger::decode;
use dotterelhook_jobs::ledger::decode_submission;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::ledger::encode_submission;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;

fn submission(entry_domain: Option<&str>) -> Submission {
    Submission {
        queue: QueueConfig {
            name: "plans".into(),
            service: "desk".into(),
            priority: 0,
            attempts_max: 3,
            stretch: 2.0,
            target_latency_ms: 1_000,
            advice: None,
        },
        spec: JobSpec {
            payload: "work".into(),
            steps: vec![StepSpec {
                count: 3,
                ..StepSpec::default()
            }],
            schedule: None,
        },
        accepted_unix_ms: 1_700_000_000_123,
        entry_domain: entry_domain.map(Into::into),
    }
}

/// Guards against a new owner that loses the jobs that a host of a former version accepted.
#[test]
fn upgrade_submissions_of_former_versions_are_read() {
    let former = submission(None);

    let record = encode(&former).expect("a record");

    assert_eq!(decode_submission(&record), Ok(former));
}

#[test]
fn submission_keeps_the_failure_domain_where_it_was_accepted() {
    let submitted = submission(Some("laguna"));

    let record = encode_submission(&submitted).expect("a record");

    assert_eq!(decode_submission(&record), Ok(submitted));
}

/// Guards against a layout that former versions can't read although it carries nothing new.
#[test]
fn submission_without_a_failure_domain_has_the_layout_of_former_versions() {
    let submitted = submission(None);

    let record = encode_submission(&submitted).expect("a record");

    assert_eq!(decode::<Submission>(&record), Ok(submitted));
}
