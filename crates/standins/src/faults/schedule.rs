use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::Cluster;
use crate::link::LinkState;
use crate::server::Fault;
use crate::server::FaultBody;

const FAULTS: [FaultKind; 12] = [
    FaultKind::KillFront,
    FaultKind::KillScheduler,
    FaultKind::StopFront,
    FaultKind::FreezeFront,
    FaultKind::FreezeScheduler,
    FaultKind::LogDown,
    FaultKind::LogLosesAnswers,
    FaultKind::LogSlow,
    FaultKind::CutFromLog,
    FaultKind::TargetBreaks,
    FaultKind::WorkerBreaks,
    FaultKind::WorkerFreezes,
];
const LOG_DELAY_MS: u64 = 500;
const PAUSE_MS: std::ops::Range<u64> = 100..4_000;
const LASTS_MS: std::ops::Range<u64> = 500..8_000;
const WORKER_FAULTS: [Fault; 2] = [Fault::Down, Fault::LoseAnswers];
const TARGET_FAULTS: [Fault; 4] = [
    Fault::Down,
    Fault::Full,
    Fault::LoseAnswers,
    Fault::FailFast,
];

/// What breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum FaultKind {
    KillFront,
    KillScheduler,
    StopFront,
    FreezeFront,
    FreezeScheduler,
    LogDown,
    LogLosesAnswers,
    LogSlow,
    CutFromLog,
    TargetBreaks,
    WorkerBreaks,
    WorkerFreezes,
}

/// One fault: it begins, lasts for some time, and is mended.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    kind: FaultKind,
    index: usize,
    fault: Fault,
    begins_at: Duration,
    lasts: Duration,
}

impl fmt::Display for FaultStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (begins_at_ms, lasts_ms) = (self.begins_at.as_millis(), self.lasts.as_millis());
        write!(
            f,
            "at {begins_at_ms} ms: {} #{} for {lasts_ms} ms",
            self.kind, self.index
        )?;
        match self.kind {
            FaultKind::TargetBreaks | FaultKind::WorkerBreaks => write!(f, " ({})", self.fault),
            _ => Ok(()),
        }
    }
}

/// A seeded series of faults, which may overlap.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The faults in order of their begin.
    pub steps: Vec<FaultStep>,
}

impl Schedule {
    /// Draws a schedule in which each kind of fault comes once, in random order.
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = FAULTS
            .sample(&mut rng, FAULTS.len())
            .copied()
            .collect::<Vec<_>>();
        let mut begins_at = Duration::ZERO;
        let steps = kinds.into_iter().map(|kind| {
            begins_at += Duration::from_millis(rng.random_range(PAUSE_MS));
            let faults: &[Fault] = match kind {
                FaultKind::WorkerBreaks => &WORKER_FAULTS,
                _ => &TARGET_FAULTS,
            };
            FaultStep {
                kind,
                index: rng.random_range(0..1_000),
                fault: faults[rng.random_range(0..faults.len())],
                begins_at,
                lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            }
        });
        Self {
            steps: steps.collect(),
        }
    }

    /// Breaks and mends the cluster as the schedule says.
    ///
    /// # Errors
    /// A killed daemon can't be started again, or a planned stop failed.
    pub async fn run(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let begins = self.steps.iter().map(|step| (step.begins_at, true, step));
        let ends = self
            .steps
            .iter()
            .map(|step| (step.begins_at + step.lasts, false, step));
        let mut events: Vec<_> = begins.chain(ends).collect();
        events.sort_by_key(|(at, _, _)| *at);
        let started_at = tokio::time::Instant::now();
        for (at, is_begin, step) in events {
            tokio::time::sleep_until(started_at + at).await;
            if is_begin {
                step.begin(cluster)?;
            } else {
                step.end(cluster)?;
            }
        }
        Ok(())
    }
}

impl FaultStep {
    fn begin(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let front = self.index % cluster.fronts.len();
        let scheduler = self.index % cluster.schedulers.len();
        match self.kind {
            FaultKind::KillFront => cluster.fronts[front].kill(),
            FaultKind::KillScheduler => cluster.schedulers[scheduler].kill(),
            FaultKind::StopFront => {
                if !cluster.fronts[front].terminate() {
                    eyre::bail!("a planned stop did not end well");
                }
            }
            FaultKind::FreezeFront => cluster.fronts[front].freeze(),
            FaultKind::FreezeScheduler => cluster.schedulers[scheduler].freeze(),
            FaultKind::LogDown => cluster.set_log_fault(fault(Fault::Down)),
            FaultKind::LogLosesAnswers => cluster.set_log_fault(fault(Fault::LoseAnswers)),
            FaultKind::LogSlow => {
                let body = FaultBody {
                    fault: Fault::Slow,
                    delay_ms: LOG_DELAY_MS,
                };
                cluster.set_log_fault(body);
            }
            FaultKind::CutFromLog => {
                let link = &cluster.links[self.index % cluster.links.len()];
                link.set(LinkState {
                    is_cut: true,
                    ..LinkState::default()
                });
            }
            FaultKind::TargetBreaks => {
                let target = self.index % cluster.targets.len();
                cluster.set_target_fault(target, fault(self.fault));
            }
            FaultKind::WorkerBreaks => cluster.set_worker_fault(self.index, fault(self.fault)),
            FaultKind::WorkerFreezes => {
                cluster.set_worker_fault(self.index, fault(Fault::Frozen));
            }
        }
        Ok(())
    }

    fn end(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let front = self.index % cluster.fronts.len();
        let scheduler = self.index % cluster.schedulers.len();
        match self.kind {
            FaultKind::KillFront | FaultKind::StopFront => cluster.fronts[front].start()?,
            FaultKind::KillScheduler => cluster.schedulers[scheduler].start()?,
            FaultKind::FreezeFront => cluster.fronts[front].thaw(),
            FaultKind::FreezeScheduler => cluster.schedulers[scheduler].thaw(),
            FaultKind::LogDown | FaultKind::LogLosesAnswers | FaultKind::LogSlow => {
                cluster.set_log_fault(fault(Fault::None));
            }
            FaultKind::CutFromLog => {
                cluster.links[self.index % cluster.links.len()].set(LinkState::default());
            }
            FaultKind::TargetBreaks => {
                let target = self.index % cluster.targets.len();
                cluster.set_target_fault(target, fault(Fault::None));
            }
            FaultKind::WorkerBreaks | FaultKind::WorkerFreezes => {
                cluster.set_worker_fault(self.index, fault(Fault::None));
            }
        }
        Ok(())
    }
}

fn fault(fault: Fault) -> FaultBody {
    FaultBody { fault, delay_ms: 0 }
}
