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

const FAULTS: [FaultKind; 10] = [
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
];
const LOG_DELAY_MS: u64 = 500;
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
}

/// One fault: it begins, lasts for some time, and is mended.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    kind: FaultKind,
    index: usize,
    target_fault: Fault,
    pause: Duration,
    lasts: Duration,
}

impl fmt::Display for FaultStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (pause_ms, lasts_ms) = (self.pause.as_millis(), self.lasts.as_millis());
        write!(
            f,
            "after {pause_ms} ms: {} #{} for {lasts_ms} ms",
            self.kind, self.index
        )?;
        match self.kind {
            FaultKind::TargetBreaks => write!(f, " ({})", self.target_fault),
            _ => Ok(()),
        }
    }
}

/// A seeded series of faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The faults in order.
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
        let steps = kinds.into_iter().map(|kind| FaultStep {
            kind,
            index: rng.random_range(0..1_000),
            target_fault: TARGET_FAULTS[rng.random_range(0..TARGET_FAULTS.len())],
            pause: Duration::from_millis(rng.random_range(100..1_500)),
            lasts: Duration::from_millis(rng.random_range(500..6_000)),
        });
        Self {
            steps: steps.collect(),
        }
    }
}

impl FaultStep {
    /// Waits, breaks the cluster, waits, and mends it.
    ///
    /// # Errors
    /// A killed daemon can't be started again, or a planned stop failed.
    pub async fn run(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        tokio::time::sleep(self.pause).await;
        self.begin(cluster)?;
        tokio::time::sleep(self.lasts).await;
        self.end(cluster)
    }

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
                cluster.set_target_fault(target, fault(self.target_fault));
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
        }
        Ok(())
    }
}

fn fault(fault: Fault) -> FaultBody {
    FaultBody { fault, delay_ms: 0 }
}
