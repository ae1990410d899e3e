use std::sync::Arc;

use dotterelhook_jobs::ledger::Job;
use dotterelhook_jobs::ledger::JobProgress;
use dotterelhook_jobs::ledger::StepRef;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::Schedule;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::policy::FairShares;
use dotterelhook_jobs::policy::JobSizes;
use dotterelhook_jobs::policy::LearnedFlows;
use dotterelhook_jobs::policy::QueueShares;
use dotterelhook_jobs::policy::SizeClass;
use tokio::time::Instant;

use crate::fixture::queue_config;
use crate::fixture::step;

/// Lets both flows offer and get one unit of work every 100 ms for a minute.
fn calm_minute() -> FairShares<&'static str> {
    let mut shares = FairShares::default();
    for now_ms in (0..60_000).step_by(100) {
        for flow in ["a", "b"] {
            shares.record_arrival(&flow, 1.0, now_ms);
            shares.record_served(&flow, 1.0, now_ms);
        }
    }
    shares
}

/// Guards against a burst that displaces others for longer than the second in which a quick job must
/// begin.
#[test]
fn burst_of_four_times_the_usual_rate_has_an_excess_within_a_second_and_the_calm_flow_has_none() {
    let mut shares = calm_minute();
    for now_ms in (60_000..61_000).step_by(100) {
        shares.record_arrival(&"a", 4.0, now_ms);
        shares.record_served(&"a", 2.0, now_ms);
        shares.record_arrival(&"b", 1.0, now_ms);
    }

    let burst = shares.excess_level(&"a", 20.0, 61_000);
    let calm = shares.excess_level(&"b", 10.0, 61_000);

    assert!(burst >= 3, "{burst}");
    assert_eq!(calm, 0);
}

/// Guards against a flow that stays behind long after its burst.
#[test]
fn burst_is_forgotten_within_its_own_length() {
    let mut shares = calm_minute();
    for now_ms in (60_000..66_000).step_by(100) {
        shares.record_arrival(&"a", 3.0, now_ms);
        shares.record_served(&"a", 3.0, now_ms);
    }

    let during = shares.excess_level(&"a", 0.0, 66_000);
    let after = shares.excess_level(&"a", 0.0, 70_000);

    assert!(during >= 4, "{during}");
    assert_eq!(after, 0);
}

/// Guards against a busy failure domain that has the share of an idle one.
#[test]
fn flow_that_always_offers_four_times_as_much_has_no_excess() {
    let mut shares = FairShares::default();
    for now_ms in (0..120_000).step_by(100) {
        for (flow, work) in [("busy", 4.0), ("quiet", 1.0)] {
            shares.record_arrival(&flow, work, now_ms);
            shares.record_served(&flow, work, now_ms);
        }
    }

    assert!(shares.excess_level(&"busy", 0.0, 120_000) <= 1);
    assert!(shares.excess_level(&"quiet", 0.0, 120_000) <= 1);
}

/// Guards against a division by zero, and against a penalty for work of an unknown origin.
#[test]
fn without_arrivals_nothing_is_in_excess() {
    assert_eq!(FairShares::default().excess_level(&"a", 1.0, 0), 0);
}

#[test]
fn the_largest_tenth_of_a_queue_and_the_fifth_below_it_are_classes_of_their_own() {
    let mut sizes = JobSizes::default();
    for work in 1..20 {
        sizes.record(f64::from(work));
    }
    let few = sizes.class(1_000.0);
    sizes.record(20.0);
    for work in 1..=200 {
        sizes.record(f64::from(work));
    }

    let classes = [1.0, 139.0, 142.0, 179.0, 182.0, 1_000.0].map(|work| sizes.class(work));

    assert_eq!(few, SizeClass::Small);
    let [small, middle, large] = [SizeClass::Small, SizeClass::Middle, SizeClass::Large];
    assert_eq!(classes, [small, small, middle, middle, large, large]);
}

/// Guards against a new owner in the middle of a burst for which all flows are alike.
#[test]
fn takeover_keeps_the_excess_of_a_burst() {
    let mut former = calm_minute();
    for now_ms in (60_000..62_000).step_by(100) {
        former.record_arrival(&"a", 4.0, now_ms);
        former.record_served(&"a", 4.0, now_ms);
    }
    let mut next = FairShares::default();

    next.restore(former.learned(62_000), 0);

    for flow in ["a", "b"] {
        assert_eq!(
            next.excess_level(&flow, 10.0, 0),
            former.excess_level(&flow, 10.0, 62_000)
        );
    }
    assert!(next.excess_level(&"a", 10.0, 0) > next.excess_level(&"b", 10.0, 0));
}

/// Guards against figures of a corrupt record that put a flow behind all others for good.
#[test]
fn takeover_ignores_sums_that_no_work_can_give() {
    let mut shares = FairShares::default();

    shares.restore(
        LearnedFlows {
            observed_ms: u64::MAX,
            flows: vec![
                ("a", f64::NAN, 1.0),
                ("b", 1.0, f64::INFINITY),
                ("c", -1.0, 1.0),
            ],
        },
        0,
    );
    shares.record_arrival(&"a", 1.0, 0);

    assert_eq!(shares.excess_level(&"a", 0.0, 1_000), 0);
    assert_eq!(shares.excess_level(&"b", 0.0, 1_000), 0);
}

fn job(schedule: Option<Schedule>) -> Job {
    let submission = Submission {
        queue: queue_config(0),
        spec: JobSpec {
            payload: "work".into(),
            steps: vec![step(1_000)],
            schedule,
        },
        accepted_unix_ms: 0,
        entry_domain: None,
    };
    let id = "0123456789abcdef".parse().expect("an id");
    let mut job = Job::new(
        id,
        Arc::new(submission),
        JobProgress::default(),
        Instant::now(),
    );
    job.create_occurrences(1);
    job
}

/// Guards against jobs that wait because a recurring job of their failure domain runs each second, whose
/// work arrives only once.
#[test]
fn recurring_jobs_cause_no_excess() {
    let mut shares = QueueShares::default();
    let once = job(None);
    let recurring = job(Some(Schedule {
        occurrences: 1_000,
        first_unix_ms: 0,
        interval_ms: 1_000,
    }));
    shares.record_arrival(&recurring, 0);
    for now_ms in (0..60_000).step_by(1_000) {
        shares.record_arrival(&once, now_ms);
        shares.record_placed(&once, &step(1_000), now_ms);
        for _ in 0..100 {
            shares.record_placed(&recurring, &step(1_000), now_ms);
        }
    }

    let step_ref = StepRef {
        occurrence: 0,
        step: 0,
    };
    let steps = [(&once, step_ref), (&recurring, step_ref)];
    let levels = shares.excess_levels(steps.into_iter(), 60_000);

    assert_eq!(levels, [0, 0]);
}
