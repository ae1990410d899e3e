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

const FAULT_KINDS: [FaultKind; 12] = [
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
const START_GAP_MS: std::ops::Range<u64> = 100..4_000;
const DURATION_MS: std::ops::Range<u64> = 500..8_000;
const WORKER_FAULTS: [Fault; 2] = [Fault::Down, Fault::LoseAnswers];
const TARGET_FAULTS: [Fault; 4] = [
    Fault::Down,
    Fault::Full,
    Fault::LoseAnswers,
    Fault::FailFast,
];

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

/// One fault, which is injected at a time and cleared after a duration.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    kind: FaultKind,
    /// The random choice of the component; it wraps around the number of components.
    index: usize,
    fault: Fault,
    starts_at: Duration,
    duration: Duration,
}

impl fmt::Display for FaultStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (starts_at_ms, duration_ms) = (self.starts_at.as_millis(), self.duration.as_millis());
        write!(
            f,
            "at {starts_at_ms} ms: {} #{} for {duration_ms} ms",
            self.kind, self.index
        )?;
        match self.kind {
            FaultKind::TargetBreaks | FaultKind::WorkerBreaks => write!(f, " ({})", self.fault),
            _ => Ok(()),
        }
    }
}

/// A reproducible series of faults, which may overlap in time.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    /// The faults in order of their start.
    pub steps: Vec<FaultStep>,
}

impl FaultSchedule {
    /// Draws a schedule from a seed; each kind of fault occurs once, in random order.
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = FAULT_KINDS
            .sample(&mut rng, FAULT_KINDS.len())
            .copied()
            .collect::<Vec<_>>();
        let mut starts_at = Duration::ZERO;
        let steps = kinds.into_iter().map(|kind| {
            starts_at += Duration::from_millis(rng.random_range(START_GAP_MS));
            let faults: &[Fault] = match kind {
                FaultKind::WorkerBreaks => &WORKER_FAULTS,
                _ => &TARGET_FAULTS,
            };
            FaultStep {
                kind,
                index: rng.random_range(0..1_000),
                fault: faults[rng.random_range(0..faults.len())],
                starts_at,
                duration: Duration::from_millis(rng.random_range(DURATION_MS)),
            }
        });
        Self {
            steps: steps.collect(),
        }
    }

    /// Injects and clears the faults at their times, and returns after the last one is cleared.
    ///
    /// # Errors
    /// A stopped daemon can't be restarted, or a planned stop exited with an error.
    pub async fn run(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let starts = self.steps.iter().map(|step| (step.starts_at, true, step));
        let ends = self
            .steps
            .iter()
            .map(|step| (step.starts_at + step.duration, false, step));
        let mut events: Vec<_> = starts.chain(ends).collect();
        events.sort_by_key(|(at, _, _)| *at);
        let started_at = tokio::time::Instant::now();
        for (at, is_start, step) in events {
            tokio::time::sleep_until(started_at + at).await;
            if is_start {
                step.inject(cluster)?;
            } else {
                step.clear(cluster)?;
            }
        }
        Ok(())
    }
}

impl FaultStep {
    fn inject(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let front = self.index % cluster.fronts.len();
        let scheduler = self.index % cluster.schedulers.len();
        match self.kind {
            FaultKind::KillFront => cluster.fronts[front].kill(),
            FaultKind::KillScheduler => cluster.schedulers[scheduler].kill(),
            FaultKind::StopFront => {
                let status = cluster.fronts[front].terminate();
                if !status.is_some_and(|status| status.success()) {
                    eyre::bail!("front #{front} did not exit with status 0 after a planned stop");
                }
            }
            FaultKind::FreezeFront => cluster.fronts[front].freeze(),
            FaultKind::FreezeScheduler => cluster.schedulers[scheduler].freeze(),
            FaultKind::LogDown => cluster.set_log_fault(body_of(Fault::Down)),
            FaultKind::LogLosesAnswers => cluster.set_log_fault(body_of(Fault::LoseAnswers)),
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
                cluster.set_target_fault(target, body_of(self.fault));
            }
            FaultKind::WorkerBreaks => cluster.set_worker_fault(self.index, body_of(self.fault)),
            FaultKind::WorkerFreezes => {
                cluster.set_worker_fault(self.index, body_of(Fault::Frozen));
            }
        }
        Ok(())
    }

    fn clear(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        let front = self.index % cluster.fronts.len();
        let scheduler = self.index % cluster.schedulers.len();
        match self.kind {
            FaultKind::KillFront | FaultKind::StopFront => cluster.fronts[front].start()?,
            FaultKind::KillScheduler => cluster.schedulers[scheduler].start()?,
            FaultKind::FreezeFront => cluster.fronts[front].resume(),
            FaultKind::FreezeScheduler => cluster.schedulers[scheduler].resume(),
            FaultKind::LogDown | FaultKind::LogLosesAnswers | FaultKind::LogSlow => {
                cluster.set_log_fault(body_of(Fault::None));
            }
            FaultKind::CutFromLog => {
                cluster.links[self.index % cluster.links.len()].set(LinkState::default());
            }
            FaultKind::TargetBreaks => {
                let target = self.index % cluster.targets.len();
                cluster.set_target_fault(target, body_of(Fault::None));
            }
            FaultKind::WorkerBreaks | FaultKind::WorkerFreezes => {
                cluster.set_worker_fault(self.index, body_of(Fault::None));
            }
        }
        Ok(())
    }
}

fn body_of(fault: Fault) -> FaultBody {
    FaultBody { fault, delay_ms: 0 }
}
