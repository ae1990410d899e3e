//! Compares interference-control policies on the same seeds of the interference model.

use std::collections::BTreeMap;

use dotterelhook_scheduler::interference::Action;
use dotterelhook_scheduler::interference::ActionKind;
use dotterelhook_scheduler::interference::ColocatedAttempt;
use dotterelhook_scheduler::interference::InterferenceController;
use dotterelhook_scheduler::interference::LastInFirstOut;
use dotterelhook_scheduler::interference::LearnedPairs;
use dotterelhook_scheduler::interference::LearnedPairsSettings;
use dotterelhook_scheduler::interference::NoControl;
use dotterelhook_scheduler::interference::ServiceSample;
use dotterelhook_scheduler::interference::StaticReservation;
use dotterelhook_scheduler::placement::JobKey;
use dotterelhook_standins::interference::InterferenceModel;
use dotterelhook_standins::interference::ModelSettings;
use dotterelhook_standins::interference::ModelTask;
use dotterelhook_standins::interference::StepReport;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

const DEFAULT_SEEDS: u64 = 10;
const DEFAULT_DURATION_S: u64 = 4 * 3_600;
const TASKS_PER_KIND_MAX: usize = 20;
const EXCESS_MAX: f64 = 0.15;
const RESERVED_SHARE: f64 = 0.3;
const MAIN_CULPRIT_SHARE_MIN: f64 = 0.5;
const SLOW_EXCESS_MIN: f64 = 0.05;

struct Running {
    attempt: AttemptId,
    worker: usize,
    reserved: f64,
}

/// The simulation of one policy on one seed.
struct Trial {
    model: InterferenceModel,
    controller: Box<dyn InterferenceController>,
    settings: ModelSettings,
    reserved: Vec<f64>,
    peak_usage: BTreeMap<usize, f64>,
    running: BTreeMap<u64, Running>,
    starts: u32,
    evictions: u64,
    wrong_evictions: u64,
    throttles: u64,
}

/// The results of one policy on one seed.
#[derive(Clone, Copy)]
struct Score {
    p99_mean: f64,
    p99_worst: f64,
    work_s: f64,
    evictions: f64,
    wrong_evictions: f64,
    throttles: f64,
}

fn worker_id(worker: usize) -> WorkerId {
    let id = format!("worker-{worker}");
    id.parse().expect("worker names are valid")
}

fn job_key(kind: usize) -> JobKey {
    JobKey {
        team: "desk".parse().expect("the name is valid"),
        job: format!("kind-{kind}").parse().expect("the name is valid"),
    }
}

impl Trial {
    fn new(
        seed: u64,
        settings: ModelSettings,
        controller: Box<dyn InterferenceController>,
    ) -> Self {
        Self {
            model: InterferenceModel::new(seed, settings),
            controller,
            settings,
            reserved: vec![0.0; settings.workers],
            peak_usage: BTreeMap::new(),
            running: BTreeMap::new(),
            starts: 0,
            evictions: 0,
            wrong_evictions: 0,
            throttles: 0,
        }
    }

    fn run(mut self, duration_s: u64) -> Score {
        for _ in 0..duration_s {
            let report = self.model.step();
            self.apply_report(&report);
            for action in self.controller.next_actions(self.now_ms()) {
                self.execute(&action);
            }
            self.place();
        }
        self.score()
    }

    fn now_ms(&self) -> u64 {
        self.model.now_s() * 1_000
    }

    fn apply_report(&mut self, report: &StepReport) {
        for id in &report.done {
            self.remove(*id);
        }
        for usage in &report.usage {
            let peak = self.peak_usage.entry(usage.kind).or_default();
            *peak = peak.max(usage.share);
            if let Some(running) = self.running.get(&usage.task) {
                let worker = worker_id(running.worker);
                self.controller
                    .record_usage(&worker, &running.attempt, usage.share);
            }
        }
        for sample in &report.samples {
            let service = self.model.service(sample.worker);
            self.controller.record_sample(&ServiceSample {
                worker: worker_id(sample.worker),
                service: format!("service-{service}").parse().expect("valid"),
                measured_at_ms: sample.measured_at_s * 1_000,
                latency_us: sample.latency_us,
                load: sample.load,
            });
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(running) = self.running.remove(&id) {
            self.reserved[running.worker] -= running.reserved;
            let worker = worker_id(running.worker);
            let now_ms = self.now_ms();
            self.controller
                .record_end(&worker, &running.attempt, now_ms);
        }
    }

    fn execute(&mut self, action: &Action) {
        let id = u64::from(action.attempt.task.index);
        let Some(running) = self.running.get(&id) else {
            return;
        };
        let worker = running.worker;
        if action.kind == ActionKind::Evict {
            self.evictions += 1;
            self.wrong_evictions += u64::from(self.is_wrong_victim(id, worker));
            self.remove(id);
            self.model.evict(id);
            return;
        }
        let is_throttled = action.kind == ActionKind::Throttle;
        self.throttles += u64::from(is_throttled);
        self.model.set_throttled(id, is_throttled);
        let now_ms = self.now_ms();
        self.controller
            .record_action(&action.worker, &action.attempt, action.kind, now_ms);
    }

    /// Returns whether an eviction is wrong: another task adds more than twice as much excess
    /// latency, or the service is no longer slow.
    fn is_wrong_victim(&self, victim: u64, worker: usize) -> bool {
        let excess_by_task = self.model.excess_by_task(worker);
        let total: f64 = excess_by_task.iter().map(|(_, excess)| excess).sum();
        let most = excess_by_task
            .iter()
            .map(|(_, excess)| *excess)
            .fold(0.0, f64::max);
        let own = excess_by_task.iter().find(|(id, _)| *id == victim);
        let own = own.map_or(0.0, |(_, excess)| *excess);
        total < SLOW_EXCESS_MIN || own < MAIN_CULPRIT_SHARE_MIN * most
    }

    /// Places waiting tasks, oldest first. Tasks of one kind have the same size, so the first that
    /// does not fit blocks the rest of its kind.
    fn place(&mut self) {
        let mut is_blocked = vec![false; self.settings.kinds];
        let mut considered = vec![0; self.settings.kinds];
        let waiting = self.model.queue().iter().filter(|task| {
            considered[task.kind] += 1;
            considered[task.kind] <= TASKS_PER_KIND_MAX
        });
        let waiting: Vec<ModelTask> = waiting.cloned().collect();
        for task in waiting {
            if is_blocked[task.kind] {
                continue;
            }
            let peak_usage = self.peak_usage.get(&task.kind).copied().unwrap_or_default();
            let size = task
                .declared_share
                .max(peak_usage)
                .min(self.settings.batch_share);
            match self.find_worker(&task, size) {
                Some(worker) => self.start(&task, worker, size),
                None => is_blocked[task.kind] = true,
            }
        }
    }

    fn find_worker(&self, task: &ModelTask, size: f64) -> Option<usize> {
        let job = job_key(task.kind);
        let free_share = |worker: &usize| self.settings.batch_share + 1e-9 - self.reserved[*worker];
        let mut fitting: Vec<usize> = (0..self.settings.workers)
            .filter(|worker| free_share(worker) >= size)
            .collect();
        fitting.sort_by(|a, b| free_share(b).total_cmp(&free_share(a)));
        let mut allowed = fitting.into_iter();
        allowed.find(|worker| self.controller.allows(&worker_id(*worker), &job, size))
    }

    fn start(&mut self, task: &ModelTask, worker: usize, size: f64) {
        self.starts += 1;
        let attempt: AttemptId = format!("run:{}:{}", task.id, self.starts)
            .parse()
            .expect("the id is valid");
        let now_ms = self.now_ms();
        let resident = ColocatedAttempt::new(attempt.clone(), job_key(task.kind), size, now_ms);
        self.controller.record_start(&worker_id(worker), resident);
        self.model.start(task.id, worker);
        self.reserved[worker] += size;
        let running = Running {
            attempt,
            worker,
            reserved: size,
        };
        self.running.insert(task.id, running);
    }

    fn score(&self) -> Score {
        let totals = self.model.totals();
        let pairs = totals.latency_us.iter().zip(&totals.alone_us);
        let ratios = pairs.map(|(with_batch, alone)| {
            with_batch.value_at_quantile(0.99) as f64 / alone.value_at_quantile(0.99) as f64
        });
        let ratios: Vec<f64> = ratios.collect();
        Score {
            p99_mean: mean(&ratios),
            p99_worst: ratios.iter().copied().fold(0.0, f64::max),
            work_s: totals.work_s,
            evictions: self.evictions as f64,
            wrong_evictions: self.wrong_evictions as f64,
            throttles: self.throttles as f64,
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Formats the mean and the sample standard deviation of values.
fn mean_and_deviation(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let mean = mean(&values);
    let squares = values.iter().map(|value| (value - mean).powi(2));
    let variance = squares.sum::<f64>() / (values.len() as f64 - 1.0).max(1.0);
    format!("{mean:.3} +- {:.3}", variance.sqrt())
}

fn controllers() -> Vec<(&'static str, Box<dyn InterferenceController>)> {
    let learned = LearnedPairs::new(LearnedPairsSettings::default());
    vec![
        ("no control", Box::new(NoControl)),
        (
            "static reservation",
            Box::new(StaticReservation::new(RESERVED_SHARE)),
        ),
        (
            "last in, first out",
            Box::new(LastInFirstOut::new(EXCESS_MAX)),
        ),
        (
            "last in, first out, at twice the excess",
            Box::new(LastInFirstOut::new(2.0 * EXCESS_MAX)),
        ),
        ("learned pair score", Box::new(learned)),
    ]
}

fn compare(settings: ModelSettings, seeds: u64, duration_s: u64) {
    let ModelSettings {
        offered,
        services,
        noise,
        ..
    } = settings;
    println!(
        "offered {offered}, {services} services, noise {noise}: {seeds} seeds of {duration_s} s"
    );
    let mut baseline: Vec<Score> = Vec::new();
    for (index, (name, _)) in controllers().iter().enumerate() {
        let scores: Vec<Score> = (0..seeds)
            .map(|seed| {
                let (_, controller) = controllers().swap_remove(index);
                Trial::new(seed, settings, controller).run(duration_s)
            })
            .collect();
        if baseline.is_empty() {
            baseline = scores.clone();
        }
        let pairs = scores.iter().zip(&baseline);
        println!("  {name}");
        println!(
            "    p99 / alone, mean of services:  {}",
            mean_and_deviation(scores.iter().map(|s| s.p99_mean))
        );
        println!(
            "    p99 / alone, worst service:     {}",
            mean_and_deviation(scores.iter().map(|s| s.p99_worst))
        );
        println!(
            "    batch work / no control:        {}",
            mean_and_deviation(pairs.map(|(s, b)| s.work_s / b.work_s))
        );
        println!(
            "    evictions:                      {}",
            mean_and_deviation(scores.iter().map(|s| s.evictions))
        );
        println!(
            "    wrong evictions:                {}",
            mean_and_deviation(scores.iter().map(|s| s.wrong_evictions))
        );
        println!(
            "    throttles:                      {}",
            mean_and_deviation(scores.iter().map(|s| s.throttles))
        );
    }
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let mut number = |key: &'static str, default: f64| {
        let given: Option<f64> = arguments.opt_value_from_str(key).expect("a number");
        given.unwrap_or(default)
    };
    let defaults = ModelSettings::default();
    let seeds = number("--seeds", DEFAULT_SEEDS as f64) as u64;
    let duration_s = number("--duration-s", DEFAULT_DURATION_S as f64) as u64;
    let services = number("--services", defaults.services as f64) as usize;
    let noise = number("--noise", defaults.noise);
    for offered in [0.3, 0.6, 1.0] {
        let settings = ModelSettings {
            offered,
            services,
            noise,
            ..defaults
        };
        compare(settings, seeds, duration_s);
    }
}
