//! Choice of eviction victims for urgent tasks.
//!
//! Guards against evicting urgent attempts, attempts whose room is not needed, and more or costlier
//! attempts than necessary.

use std::collections::BTreeSet;

use dotterelhook_scheduler::placement::Eviction;
use dotterelhook_scheduler::placement::EvictionContext;
use dotterelhook_scheduler::placement::EvictionPolicy;
use dotterelhook_scheduler::placement::FewestVictims;
use dotterelhook_scheduler::placement::RunningAttempt;
use dotterelhook_scheduler::placement::Shortfall;
use dotterelhook_scheduler::placement::WorkerLoad;
use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::sizes::Resources;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Processor time, priority, and whether the task is checkpointable.
type Task = (u64, Priority, bool);

/// Name, workers, pending evictions and expected victims.
type Case = (
    &'static str,
    Vec<WorkerLoad>,
    &'static [&'static str],
    &'static [&'static str],
);

fn worker_load(worker: usize, free: u64, tasks: &[Task]) -> WorkerLoad {
    let running = tasks
        .iter()
        .enumerate()
        .map(|(index, task)| RunningAttempt {
            attempt: format!("run-{worker}:{index}:1").parse().unwrap(),
            size: Resources::new(task.0, 1),
            priority: task.1,
            is_checkpointable: task.2,
            started_order: index as u64,
        });
    WorkerLoad {
        worker: format!("worker-{worker}").parse().unwrap(),
        free: Resources::new(free, 100),
        running: running.collect(),
    }
}

fn choose(
    loads: &[WorkerLoad],
    cpu_sizes: &[u64],
    pending: &[&str],
    evictions_max: usize,
) -> Vec<Eviction> {
    let shortfalls: Vec<Shortfall> = cpu_sizes
        .iter()
        .map(|cpu| Shortfall {
            run: "urgent".parse().unwrap(),
            size: Resources::new(*cpu, 1),
            tasks: 1,
        })
        .collect();
    let pending: BTreeSet<AttemptId> = pending.iter().map(|id| id.parse().unwrap()).collect();
    FewestVictims.choose(&EvictionContext {
        shortfalls: &shortfalls,
        loads,
        pending: &pending,
        is_usable: &|_| true,
        evictions_max,
    })
}

fn attempt_ids(evictions: &[Eviction]) -> Vec<String> {
    evictions.iter().map(|e| e.attempt.to_string()).collect()
}

#[test]
fn the_cheapest_victims_are_chosen() {
    use Priority::Low;
    use Priority::Normal;
    use Priority::Urgent;
    let table: [Case; 6] = [
        (
            "one victim rather than two",
            vec![
                worker_load(0, 0, &[(2, Low, true), (2, Low, true)]),
                worker_load(1, 0, &[(4, Normal, true)]),
            ],
            &[],
            &["run-1:0:1"],
        ),
        (
            "low priority first",
            vec![worker_load(0, 0, &[(4, Low, true), (4, Normal, true)])],
            &[],
            &["run-0:0:1"],
        ),
        (
            "checkpointable before younger",
            vec![worker_load(0, 0, &[(4, Low, true), (4, Low, false)])],
            &[],
            &["run-0:0:1"],
        ),
        (
            "the youngest among equals",
            vec![worker_load(0, 0, &[(4, Low, true), (4, Low, true)])],
            &[],
            &["run-0:1:1"],
        ),
        (
            "never an urgent one",
            vec![worker_load(0, 0, &[(9, Urgent, true)])],
            &[],
            &[],
        ),
        (
            "none while one that makes room is under way",
            vec![worker_load(0, 0, &[(4, Low, true), (4, Low, true)])],
            &["run-0:0:1"],
            &[],
        ),
    ];
    for (case, loads, pending, expected) in table {
        let evictions = choose(&loads, &[4], pending, 10);

        assert_eq!(attempt_ids(&evictions), expected, "{case}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(62), ..ProptestConfig::default() })]

    #[test]
    fn victims_are_needed_distinct_and_not_urgent(
        tasks in prop::collection::vec(
            prop::collection::vec((1_u64..6, 0_usize..3, any::<bool>()), 0..6), 1..5),
        sizes in prop::collection::vec(1_u64..10, 1..5),
        evictions_max in 0_usize..6,
    ) {
        let priorities = [Priority::Low, Priority::Normal, Priority::Urgent];
        let loads: Vec<WorkerLoad> = tasks
            .iter()
            .enumerate()
            .map(|(index, tasks)| {
                let tasks = tasks.iter().map(|(cpu, p, c)| (*cpu, priorities[*p], *c));
                worker_load(index, 0, &tasks.collect::<Vec<Task>>())
            })
            .collect();

        let evictions = choose(&loads, &sizes, &[], evictions_max);

        let distinct: BTreeSet<String> = attempt_ids(&evictions).into_iter().collect();
        prop_assert_eq!(distinct.len(), evictions.len());
        prop_assert!(evictions.len() <= evictions_max);
        let mut freed_cpu = 0;
        for eviction in &evictions {
            let load = loads.iter().find(|load| load.worker == eviction.worker).unwrap();
            let task = load.running.iter().find(|t| t.attempt == eviction.attempt).unwrap();
            prop_assert!(task.priority != Priority::Urgent);
            freed_cpu += task.size.cpu_milli.0;
        }
        prop_assert!(evictions.is_empty() || freed_cpu >= *sizes.iter().min().unwrap());
    }
}
