use std::collections::BTreeMap;

use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::queue_config;
use crate::fixture::step;
use crate::shortage_load::GroupResult;
use crate::shortage_load::PlannedJob;
use crate::shortage_load::ShortageLoad;
use crate::shortage_load::arrivals;

/// The seeds of each load.
const SEEDS: std::ops::Range<u64> = 0..5;
/// The cores of the cell's executors: 80 in all.
pub(crate) const CORES: [u64; 10] = [8; 10];
/// The jobs per second of the quick queue that take all executors: each has 4 tasks of 2 cores for
/// 0.7 s.
pub(crate) const QUICK_CAPACITY_PER_S: f64 = 80.0 / (4.0 * 2.0 * 0.7);

fn quick_queue() -> QueueConfig {
    QueueConfig {
        name: "quick".into(),
        stretch: 1.5,
        target_latency_ms: 300,
        ..queue_config(3)
    }
}

fn batch_queue() -> QueueConfig {
    QueueConfig {
        name: "batch".into(),
        priority: 2,
        ..queue_config(3)
    }
}

pub(crate) fn quick_job(
    at_ms: u64,
    group: &'static str,
    domain: &'static str,
    tasks: u32,
) -> PlannedJob {
    PlannedJob {
        at_ms,
        group,
        queue: quick_queue(),
        domain,
        steps: vec![StepSpec {
            estimate_ms: 700,
            ..step(tasks, 2_000, &[])
        }],
        run_factor: 1.0,
    }
}

fn batch_job(at_ms: u64, tasks: u32) -> PlannedJob {
    PlannedJob {
        queue: batch_queue(),
        group: "batch",
        steps: vec![StepSpec {
            estimate_ms: 2_300,
            ..step(tasks, 2_000, &[])
        }],
        ..quick_job(at_ms, "batch", "laguna", tasks)
    }
}

type Results = BTreeMap<&'static str, GroupResult>;

/// Plays a load with each seed, and returns the sums of the results with one owner, and with a new one
/// in the middle of the shortage. All jobs must complete: what was accepted is never given up.
fn play_all(
    plan: impl Fn(&mut SmallRng) -> Vec<PlannedJob>,
    cores: &[u64],
    takeover_at_ms: u64,
    refuses: bool,
) -> [Results; 2] {
    [None, Some(takeover_at_ms)].map(|takeover_at_ms| {
        let mut sums = Results::new();
        for seed in SEEDS {
            let plan = plan(&mut SmallRng::seed_from_u64(seed));
            let results = ShortageLoad::new(cores, refuses).play(plan, takeover_at_ms);
            eprintln!("seed {seed}, takeover at {takeover_at_ms:?} ms: {results:?}");
            for (group, result) in results {
                assert_eq!(
                    result.completed + result.refused,
                    result.jobs,
                    "seed {seed}, {group}"
                );
                sums.entry(group).or_default().add(&result);
            }
        }
        sums
    })
}

/// A burst of four times the usual rate for 6 s from one failure domain beside three calm ones.
fn domain_burst(random: &mut SmallRng) -> Vec<PlannedJob> {
    const DOMAINS: [&str; 4] = ["laguna", "cavite", "rizal", "bulacan"];
    let usual = 0.85 * QUICK_CAPACITY_PER_S / 4.0;
    let mut plan = Vec::new();
    for domain in DOMAINS {
        for at_ms in arrivals(random, 0, 40_000, usual) {
            let is_calm = domain != "laguna";
            let group = match at_ms {
                20_000..28_000 if is_calm => "calm",
                20_000..28_000 => "burst",
                _ => "before and after",
            };
            plan.push(quick_job(at_ms, group, domain, 4));
        }
    }
    for at_ms in arrivals(random, 20_000, 26_000, 3.2 * usual) {
        plan.push(quick_job(at_ms, "burst", "laguna", 4));
    }
    plan
}

/// Guards against a burst that takes the capacity of calm failure domains. Without an excess, 0.74 of
/// the calm jobs are in time. The load offers 1.5 times the capacity, and the calm domains two thirds
/// of it, so that nearly all of their jobs can be in time.
#[tokio::test]
async fn burst_from_one_failure_domain_does_not_displace_the_jobs_of_three_calm_ones() {
    for results in play_all(domain_burst, &CORES, 23_000, true) {
        assert!(results["calm"].in_time_share() > 0.9, "{results:?}");
        assert!(results["burst"].in_time_share() > 0.5, "{results:?}");
    }
}

/// Two queues that offer 1.5 times the capacity for 10 s.
fn two_queues(random: &mut SmallRng) -> Vec<PlannedJob> {
    let mut plan = Vec::new();
    let quick_per_s = 0.6 * QUICK_CAPACITY_PER_S;
    let batch_capacity_per_s = 80.0 / (8.0 * 2.0 * 2.3);
    for at_ms in arrivals(random, 0, 30_000, quick_per_s) {
        plan.push(quick_job(at_ms, "quick", "laguna", 4));
    }
    for (from_ms, until_ms, load) in [
        (0, 10_000, 0.3),
        (10_000, 20_000, 0.9),
        (20_000, 30_000, 0.3),
    ] {
        for at_ms in arrivals(random, from_ms, until_ms, load * batch_capacity_per_s) {
            plan.push(batch_job(at_ms, 8));
        }
    }
    plan
}

/// Guards against quick jobs that wait for batch jobs, and against batch jobs that lose their value
/// although the shortage lasts for less than three times their objective of 5.6 s.
#[tokio::test]
async fn two_queues_whose_sum_exceeds_the_capacity_by_half_for_10_s() {
    for results in play_all(two_queues, &CORES, 15_000, true) {
        assert!(results["quick"].in_time_share() > 0.9, "{results:?}");
        let batch = &results["batch"];
        assert!(batch.within_three_times_share() > 0.9, "{results:?}");
    }
}

/// A burst of wide jobs into a quick queue of mixed sizes.
fn wide_burst(random: &mut SmallRng) -> Vec<PlannedJob> {
    let mut plan = Vec::new();
    // 0.7 jobs of 3 tasks, 0.2 of 8 and 0.1 of 20 have a mean of 5.7 tasks.
    let usual = 0.85 * QUICK_CAPACITY_PER_S * 4.0 / 5.7;
    for at_ms in arrivals(random, 0, 40_000, usual) {
        let (group, tasks) = match random.random_range(0..10) {
            0 => ("large", 20),
            1 | 2 => ("middle", 8),
            _ => ("small", 3),
        };
        let group = match at_ms {
            20_000..28_000 => group,
            _ => "before and after",
        };
        plan.push(quick_job(at_ms, group, "laguna", tasks));
    }
    for at_ms in arrivals(random, 20_000, 26_000, 0.25 * usual) {
        plan.push(quick_job(at_ms, "large", "laguna", 20));
    }
    plan
}

/// Guards against wide jobs that hold up small ones: without an excess, 0.85 of the small jobs are in
/// time. Guards also against an order by size alone, which leaves nothing to wide jobs: they offer
/// twice their usual work, so that a half of them can be in time at most.
#[tokio::test]
async fn burst_of_wide_jobs_neither_holds_up_small_ones_nor_starves_wide_ones() {
    for results in play_all(wide_burst, &CORES, 23_000, true) {
        assert!(results["small"].in_time_share() > 0.92, "{results:?}");
        assert!(results["large"].in_time_share() > 0.35, "{results:?}");
        let large = &results["large"];
        assert!(large.within_three_times_share() > 0.5, "{results:?}");
    }
}

/// Executors of two sizes at nine tenths of their capacity, with tasks that fit only the large ones.
fn two_sizes(random: &mut SmallRng) -> Vec<PlannedJob> {
    let mut plan = Vec::new();
    for at_ms in arrivals(random, 0, 30_000, 0.7 * QUICK_CAPACITY_PER_S) {
        plan.push(quick_job(at_ms, "small tasks", "laguna", 4));
    }
    let large_per_s = 0.2 * 80.0 / (2.0 * 12.0 * 0.7);
    for at_ms in arrivals(random, 0, 30_000, large_per_s) {
        let mut planned = quick_job(at_ms, "large tasks", "laguna", 2);
        planned.steps[0].need.cpu_milli.0 = 12_000;
        plan.push(planned);
    }
    plan
}

/// Guards against large tasks that starve because small tasks take each core that becomes free.
#[tokio::test]
async fn tasks_that_fit_only_the_large_of_two_sizes_of_executors_get_their_share() {
    let cores = [8, 8, 8, 8, 16, 16, 16];

    for results in play_all(two_sizes, &cores, 15_000, true) {
        let large = &results["large tasks"];
        assert!(large.within_three_times_share() > 0.8, "{results:?}");
        assert!(results["small tasks"].in_time_share() > 0.95, "{results:?}");
    }
}

/// A quick queue at 0.8 of the capacity, 3% of whose jobs take seven times as long as estimated.
fn slow_tasks(random: &mut SmallRng) -> Vec<PlannedJob> {
    let mut plan = Vec::new();
    let usual = 0.8 / (0.97 + 0.03 * 7.0) * QUICK_CAPACITY_PER_S;
    for at_ms in arrivals(random, 0, 40_000, usual) {
        let is_slow = random.random_bool(0.03);
        let group = if is_slow { "slow" } else { "usual" };
        plan.push(PlannedJob {
            run_factor: if is_slow { 7.0 } else { 1.0 },
            ..quick_job(at_ms, group, "laguna", 4)
        });
    }
    plan
}

/// Guards against estimates of all jobs that follow the few slow ones.
#[tokio::test]
async fn three_percent_of_tasks_that_take_seven_times_as_long_hold_up_no_others() {
    for results in play_all(slow_tasks, &CORES, 20_000, true) {
        assert!(results["usual"].in_time_share() > 0.95, "{results:?}");
        assert!(results["slow"].in_time_share() > 0.95, "{results:?}");
    }
}

/// A burst of six times the capacity for 3 s into a calm quick queue.
fn flood(random: &mut SmallRng) -> Vec<PlannedJob> {
    let mut plan = Vec::new();
    for at_ms in arrivals(random, 0, 30_000, 0.5 * QUICK_CAPACITY_PER_S) {
        plan.push(quick_job(at_ms, "calm", "cavite", 4));
    }
    for at_ms in arrivals(random, 20_000, 23_000, 6.0 * QUICK_CAPACITY_PER_S) {
        plan.push(quick_job(at_ms, "flood", "laguna", 4));
    }
    plan
}

/// Guards against refusals that cost more than they save: whatever is refused, the executors must serve
/// as many jobs in time. Guards also against refusals of calm domains' jobs, which go before the flood,
/// and of any job by a new owner that does not know the shares yet.
#[tokio::test]
async fn flood_of_six_times_the_capacity_refuses_only_jobs_in_whose_place_others_are_served() {
    let refusing = play_all(flood, &CORES, 22_000, true);
    let patient = play_all(flood, &CORES, 22_000, false);

    assert!(refusing[0]["flood"].refused > refusing[0]["flood"].jobs / 3);
    for (refusing, patient) in refusing.iter().zip(&patient) {
        let in_time = |results: &Results| results["calm"].in_time + results["flood"].in_time;
        assert!(
            in_time(refusing) * 100 >= in_time(patient) * 98,
            "{refusing:?}, {patient:?}"
        );
        assert!(refusing["calm"].in_time >= patient["calm"].in_time);
        assert_eq!(refusing["calm"].refused, 0);
    }
}
