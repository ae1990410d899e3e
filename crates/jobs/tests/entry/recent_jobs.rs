use std::time::Duration;

use dotterelhook_jobs::entry::RecentJobs;
use dotterelhook_jobs::model::JobId;
use tokio::time::Instant;

const RETENTION: Duration = Duration::from_secs(10);

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an id")
}

/// Guards against a job that is shown as pending for good after its owner has deleted it.
#[test]
fn a_job_is_forgotten_after_its_time_also_without_further_jobs() {
    let now = Instant::now();
    let mut recent = RecentJobs::new(RETENTION);
    recent.add(job(1), now);

    let seen = [9, 11].map(|s| recent.contains(job(1), now + Duration::from_secs(s)));

    assert_eq!(seen, [true, false]);
}

/// Guards against 410 for a job whose repeated submission has just been accepted.
#[test]
fn the_time_of_a_job_that_is_accepted_again_begins_anew() {
    let now = Instant::now();
    let after = |s| now + Duration::from_secs(s);
    let mut recent = RecentJobs::new(RETENTION);
    recent.add(job(1), now);
    recent.add(job(1), after(8));
    recent.add(job(2), after(12));

    let seen = [17, 19].map(|s| recent.contains(job(1), after(s)));

    assert_eq!(seen, [true, false]);
}
