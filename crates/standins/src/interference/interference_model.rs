use std::collections::BTreeMap;
use std::collections::VecDeque;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::ModelSettings;
use super::ModelTask;
use super::workload::Workload;

const UNLOADED_LATENCY_US: f64 = 10_000.0;
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_QUANTILES: u32 = 50;
const LOAD_EXPONENT: f64 = 1.5;
const OVERLOAD_SLOWDOWN: f64 = 2.0;
const THROTTLED_SPEED: f64 = 0.3;
const CHECKPOINT_INTERVAL_S: f64 = 30.0;

/// A latency measurement of the service on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencySample {
    /// The index of the worker.
    pub worker: usize,
    /// The second of the measurement.
    pub measured_at_s: u64,
    /// The mean latency, with the measurement error.
    pub latency_us: f64,
    /// The load of the service, as a share of its full load.
    pub load: f64,
}

/// A usage measurement of one task.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The id of the task.
    pub task: u64,
    /// The index of the kind of the task.
    pub kind: usize,
    /// The share of the worker's processors that the task used.
    pub share: f64,
}

/// The measurements and completions that become visible in one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepReport {
    /// Latency measurements, delayed by the lag of the settings.
    pub samples: Vec<LatencySample>,
    /// Usage measurements, with the same delay as the samples.
    pub usage: Vec<UsageReport>,
    /// The ids of the tasks that were completed in this step, without delay.
    pub done: Vec<u64>,
}

/// Cumulative results of a run of the model.
#[derive(Clone, Debug)]
pub struct Totals {
    /// The latencies of each service with its colocated batch tasks.
    pub latency_us: Vec<Histogram<u64>>,
    /// The latencies that each service would have without batch tasks.
    pub alone_us: Vec<Histogram<u64>>,
    /// The work done by tasks and not lost to evictions, in workers times seconds.
    pub work_s: f64,
}

struct Running {
    task: ModelTask,
    worker: usize,
    is_throttled: bool,
    progress_s: f64,
}

/// Services and batch tasks on a group of workers, simulated in steps of one second.
pub struct InterferenceModel {
    settings: ModelSettings,
    workload: Workload,
    noise: StdRng,
    now_s: u64,
    loads: Vec<f64>,
    queue: VecDeque<ModelTask>,
    retained_progress_s: BTreeMap<u64, f64>,
    running: BTreeMap<u64, Running>,
    delayed_reports: BTreeMap<u64, StepReport>,
    totals: Totals,
}

impl InterferenceModel {
    /// Creates idle workers; the seed determines all random choices.
    pub fn new(seed: u64, settings: ModelSettings) -> Self {
        let histogram =
            || Histogram::new_with_max(LATENCY_MAX_US, 3).expect("the bounds are valid");
        let histograms = || (0..settings.services).map(|_| histogram()).collect();
        Self {
            settings,
            workload: Workload::new(seed, settings),
            noise: StdRng::seed_from_u64(seed ^ 0x7015e),
            now_s: 0,
            loads: vec![0.0; settings.services],
            queue: VecDeque::new(),
            retained_progress_s: BTreeMap::new(),
            running: BTreeMap::new(),
            delayed_reports: BTreeMap::new(),
            totals: Totals {
                latency_us: histograms(),
                alone_us: histograms(),
                work_s: 0.0,
            },
        }
    }

    /// Returns the simulated time, which counts the completed steps.
    pub fn now_s(&self) -> u64 {
        self.now_s
    }

    /// Returns the index of the service that runs on a worker.
    pub fn service(&self, worker: usize) -> usize {
        worker % self.settings.services
    }

    /// Returns the waiting tasks, oldest first.
    pub fn queue(&self) -> &VecDeque<ModelTask> {
        &self.queue
    }

    /// Returns the cumulative results so far.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Starts a waiting task, from its last checkpoint if one exists; a no-op for other tasks.
    pub fn start(&mut self, id: u64, worker: usize) {
        let Some(position) = self.queue.iter().position(|task| task.id == id) else {
            return;
        };
        let Some(task) = self.queue.remove(position) else {
            return;
        };
        let running = Running {
            progress_s: self.retained_progress_s.remove(&id).unwrap_or_default(),
            task,
            worker,
            is_throttled: false,
        };
        self.running.insert(id, running);
    }

    /// Throttles a running task, or restores its full speed.
    pub fn set_throttled(&mut self, id: u64, is_throttled: bool) {
        if let Some(running) = self.running.get_mut(&id) {
            running.is_throttled = is_throttled;
        }
    }

    /// Stops a running task and puts it at the front of the queue.
    ///
    /// Progress after the last checkpoint is lost, or all progress if the task is not checkpointable.
    pub fn evict(&mut self, id: u64) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let kept_s = if running.task.is_checkpointable {
            running.progress_s - running.progress_s % CHECKPOINT_INTERVAL_S
        } else {
            0.0
        };
        self.totals.work_s -= (running.progress_s - kept_s) * running.task.true_share;
        self.retained_progress_s.insert(id, kept_s);
        self.queue.push_front(running.task);
    }

    /// Returns the relative excess latency that each task on a worker currently adds.
    pub fn excess_by_task(&self, worker: usize) -> Vec<(u64, f64)> {
        let here = self.running.iter().filter(|(_, r)| r.worker == worker);
        here.map(|(id, running)| (*id, self.excess_of(running)))
            .collect()
    }

    fn excess_of(&self, running: &Running) -> f64 {
        let service = self.service(running.worker);
        let slowdown = self.workload.slowdown(service, running.task.kind);
        slowdown * running.used_share() * self.loads[service].powf(LOAD_EXPONENT)
    }

    /// Advances the simulation by one second and returns what becomes visible in that step.
    pub fn step(&mut self) -> StepReport {
        self.queue.extend(self.workload.next_arrivals(self.now_s));
        self.loads = self.workload.next_loads(self.now_s);
        let mut used = vec![0.0; self.settings.workers];
        let mut excess = vec![0.0; self.settings.workers];
        for running in self.running.values() {
            used[running.worker] += running.used_share();
            excess[running.worker] += self.excess_of(running);
        }
        for worker in 0..self.settings.workers {
            self.serve_requests(worker, used[worker], excess[worker]);
        }
        let done = self.run_tasks(&used);
        self.now_s += 1;
        let mut report = self.delayed_reports.remove(&self.now_s).unwrap_or_default();
        report.done = done;
        report
    }

    fn serve_requests(&mut self, worker: usize, batch_share: f64, excess: f64) {
        let service = self.service(worker);
        let load = self.loads[service];
        let overload = (load * self.settings.service_share + batch_share - 1.0).max(0.0);
        let slowdown = 1.0 + excess + OVERLOAD_SLOWDOWN * overload;
        let alone_us = UNLOADED_LATENCY_US / (1.0 - 0.4 * load);
        let weight = (load * 10.0).round() as u64;
        for quantile in 0..LATENCY_QUANTILES {
            let tail = 1.0 - (f64::from(quantile) + 0.5) / f64::from(LATENCY_QUANTILES);
            let latency_us = alone_us * (0.5 - 0.5 * tail.ln());
            let totals = &mut self.totals;
            totals.alone_us[service].saturating_record_n(latency_us as u64, weight);
            totals.latency_us[service].saturating_record_n((latency_us * slowdown) as u64, weight);
        }
        let noise = self.settings.noise;
        let factor = 1.0 + self.noise.random_range(-noise..noise);
        let (lag_min_s, lag_max_s) = (self.settings.lag_min_s, self.settings.lag_max_s);
        let lag_s = self.noise.random_range(lag_min_s..=lag_max_s);
        if (self.now_s + worker as u64).is_multiple_of(self.settings.measure_interval_s) {
            let here = self.running.values().filter(|r| r.worker == worker);
            let usage = here.map(|running| UsageReport {
                task: running.task.id,
                kind: running.task.kind,
                share: running.used_share(),
            });
            let report = self.delayed_reports.entry(self.now_s + lag_s).or_default();
            report.usage.extend(usage);
            report.samples.push(LatencySample {
                worker,
                measured_at_s: self.now_s,
                latency_us: alone_us * slowdown * factor,
                load,
            });
        }
    }

    fn run_tasks(&mut self, used: &[f64]) -> Vec<u64> {
        let mut done = Vec::new();
        for (id, running) in &mut self.running {
            let service = running.worker % self.settings.services;
            let free_share = 1.0 - self.loads[service] * self.settings.service_share;
            let share_granted = (free_share / used[running.worker].max(f64::MIN_POSITIVE)).min(1.0);
            let speed = share_granted * running.speed();
            running.progress_s += speed;
            self.totals.work_s += speed * running.task.true_share;
            if running.progress_s >= running.task.work_s {
                done.push(*id);
            }
        }
        for id in &done {
            self.running.remove(id);
        }
        done
    }
}

impl Running {
    fn speed(&self) -> f64 {
        if self.is_throttled {
            THROTTLED_SPEED
        } else {
            1.0
        }
    }

    /// Returns the share of the worker's processors that the task currently takes.
    fn used_share(&self) -> f64 {
        self.task.true_share * self.speed()
    }
}
