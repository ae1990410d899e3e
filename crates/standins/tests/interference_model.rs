//! The interference model gives each policy the same workload, and measurements after a lag.

use dotterelhook_standins::interference::InterferenceModel;
use dotterelhook_standins::interference::ModelSettings;

const DURATION_S: u64 = 1_000;

/// Runs the model and returns it with the ages of all latency samples on arrival.
///
/// With `starts_tasks`, each waiting task is started at once; otherwise no task is started.
fn run(seed: u64, starts_tasks: bool) -> (InterferenceModel, Vec<u64>) {
    let settings = ModelSettings::default();
    let mut model = InterferenceModel::new(seed, settings);
    let mut ages_s = Vec::new();
    for _ in 0..DURATION_S {
        let report = model.step();
        let now_s = model.now_s();
        ages_s.extend(report.samples.iter().map(|s| now_s - s.measured_at_s));
        let waiting: Vec<u64> = model.queue().iter().map(|task| task.id).collect();
        for id in waiting.into_iter().filter(|_| starts_tasks) {
            model.start(id, id as usize % settings.workers);
        }
    }
    (model, ages_s)
}

#[test]
fn a_service_alone_is_the_same_whatever_the_policy_does() {
    let (idle, _) = run(7, false);
    let (busy, _) = run(7, true);

    assert!(idle.totals().alone_us == busy.totals().alone_us);
    assert!(idle.totals().latency_us == idle.totals().alone_us);
    assert!(busy.totals().latency_us != busy.totals().alone_us);
    assert!(busy.totals().work_s > 0.0);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let (first, _) = run(8, true);
    let (second, _) = run(8, true);
    let (other, _) = run(9, true);

    assert!(first.totals().latency_us == second.totals().latency_us);
    assert!(first.totals().latency_us != other.totals().latency_us);
}

#[test]
fn measurements_arrive_within_the_lag() {
    let settings = ModelSettings::default();

    let (_, ages_s) = run(10, true);

    let lag = settings.lag_min_s..=settings.lag_max_s + 1;
    assert!(!ages_s.is_empty());
    assert!(ages_s.iter().all(|age_s| lag.contains(age_s)), "{ages_s:?}");
}

#[test]
fn an_evicted_task_keeps_no_more_than_its_checkpoint() {
    let mut model = InterferenceModel::new(11, ModelSettings::default());
    model.step();
    let task = model.queue()[0].clone();
    model.start(task.id, 0);
    for _ in 0..45 {
        model.step();
    }
    let before_s = model.totals().work_s;

    model.evict(task.id);

    let lost_s = before_s - model.totals().work_s;
    assert!(lost_s > 0.0 && lost_s <= 45.0 * task.true_share);
    assert!(model.queue().iter().any(|waiting| waiting.id == task.id));
}
