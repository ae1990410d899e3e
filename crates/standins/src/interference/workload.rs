use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::ModelSettings;

/// The share of the arriving work that comes in waves.
const WAVE_SHARE: f64 = 0.3;

/// A batch task of the model; shares refer to the processors of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelTask {
    /// Unique within the model.
    pub id: u64,
    /// The index of the kind of the task.
    pub kind: usize,
    /// The share that the job declares for the task.
    pub declared_share: f64,
    /// The share that the task takes at full speed.
    pub true_share: f64,
    /// The run time of the task at full speed.
    pub work_s: f64,
    /// Whether an evicted task resumes from its last checkpoint.
    pub is_checkpointable: bool,
}

struct Kind {
    share: f64,
    declared_factor: f64,
    work_s: f64,
    is_checkpointable: bool,
}

/// Arrivals, loads and pairwise slowdowns; policies with the same seed see the same workload.
pub(super) struct Workload {
    settings: ModelSettings,
    kinds: Vec<Kind>,
    /// The relative excess latency of a service at full load if tasks of a kind take the whole
    /// worker; indexed by service, then by kind.
    slowdowns: Vec<Vec<f64>>,
    arrivals: StdRng,
    loads: StdRng,
    bursts: Vec<f64>,
    next_id: u64,
}

impl Workload {
    pub(super) fn new(seed: u64, settings: ModelSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = (0..settings.kinds).map(|_| Kind {
            share: rng.random_range(0.05..0.2),
            declared_factor: 10_f64.powf(rng.random_range(0.3_f64.log10()..3_f64.log10())),
            work_s: rng.random_range(120.0..600.0),
            is_checkpointable: rng.random_bool(0.7),
        });
        let kinds = kinds.collect();
        let mut slowdown = || match rng.random_bool(settings.bad_pair_probability) {
            true => rng.random_range(1.0..4.0),
            false => rng.random_range(0.0..0.05),
        };
        let slowdowns = (0..settings.services)
            .map(|_| (0..settings.kinds).map(|_| slowdown()).collect())
            .collect();
        Self {
            settings,
            kinds,
            slowdowns,
            arrivals: StdRng::seed_from_u64(seed ^ 0xa11),
            loads: StdRng::seed_from_u64(seed ^ 0x10ad),
            bursts: vec![0.0; settings.services],
            next_id: 0,
        }
    }

    /// Returns the relative excess latency of the service at full load if tasks of the kind take
    /// the whole worker.
    pub(super) fn slowdown(&self, service: usize, kind: usize) -> f64 {
        self.slowdowns[service][kind]
    }

    /// Draws the load of each service for a second, as a share of its full load.
    pub(super) fn next_loads(&mut self, now_s: u64) -> Vec<f64> {
        let rng = &mut self.loads;
        let bursts = self.bursts.iter_mut().enumerate();
        let load = bursts.map(|(service, burst)| {
            *burst = 0.98 * *burst + 0.02 * rng.random_range(-1.0..1.0);
            let phase = now_s as f64 / 3_600.0 + service as f64;
            (0.6 + 0.3 * phase.sin() + *burst).clamp(0.1, 1.0)
        });
        load.collect()
    }

    /// Draws the tasks that arrive in a second: a steady part of all kinds and waves of one kind.
    pub(super) fn next_arrivals(&mut self, now_s: u64) -> Vec<ModelTask> {
        let settings = self.settings;
        let per_second = settings.offered * settings.batch_share * settings.workers as f64;
        let wave_interval_s = settings.wave_interval_s as f64;
        let mut tasks = Vec::new();
        if now_s.is_multiple_of(settings.wave_interval_s) {
            let kind = self.arrivals.random_range(0..self.kinds.len());
            self.add_tasks(
                &mut tasks,
                Some(kind),
                per_second * wave_interval_s * WAVE_SHARE,
            );
        }
        let steady = per_second * (1.0 - WAVE_SHARE);
        let mean_work: f64 =
            self.kinds.iter().map(|k| k.share * k.work_s).sum::<f64>() / self.kinds.len() as f64;
        if self.arrivals.random_bool((steady / mean_work).min(1.0)) {
            self.add_tasks(&mut tasks, None, 0.0);
        }
        tasks
    }

    /// Draws tasks of one kind, or of random kinds, until they bring the remaining work.
    ///
    /// At least one task is added.
    fn add_tasks(
        &mut self,
        tasks: &mut Vec<ModelTask>,
        kind: Option<usize>,
        mut remaining_work: f64,
    ) {
        loop {
            let random_kind = self.arrivals.random_range(0..self.kinds.len());
            let index = kind.unwrap_or(random_kind);
            let kind = &self.kinds[index];
            let true_share = kind.share * self.arrivals.random_range(0.8..1.2);
            let task = ModelTask {
                id: self.next_id,
                kind: index,
                declared_share: kind.share * kind.declared_factor,
                true_share,
                work_s: kind.work_s * self.arrivals.random_range(0.5..1.5),
                is_checkpointable: kind.is_checkpointable,
            };
            self.next_id += 1;
            remaining_work -= task.true_share * task.work_s;
            tasks.push(task);
            if remaining_work <= 0.0 {
                return;
            }
        }
    }
}
