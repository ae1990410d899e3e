use std::time::Duration;

use dotterelhook_scheduler::interference::PairTable;

use super::FillerSample;
use super::Interference;
use super::TailSample;
use super::TailStep;
use crate::model::ImageName;

/// The images that are remembered at most.
const IMAGES_MAX: usize = 512;
/// How long an image's pressure is believed without a sample; it changes within seconds.
const HALF_LIFE_MS: u64 = 30_000;
/// The tail ratio of a serving task without fillers, before anything is learned.
const QUIET_RATIO: f64 = 0.45;
/// How fast the quiet ratio follows samples without fillers.
const QUIET_RATE: f64 = 0.05;
/// The tail ratio from which fillers are slowed down.
const HIGH_RATIO: f64 = 0.95;
/// The tail ratio below which fillers are let go faster.
const LOW_RATIO: f64 = 0.75;
/// A filler that raises the tail ratio by this much is moved rather than slowed down.
const HEAVY_EXCESS: f64 = 0.2;
/// The time over the target after which all fillers stop working; a rule gives 4 s or more.
const OVER_MAX: Duration = Duration::from_millis(1_200);
/// By how much a filler's pace rises at a time, in percent.
const RAISE_PERCENT: u32 = 25;

/// Slows fillers down by what their images were seen to cause, and speeds them up again.
#[derive(Clone, Debug)]
pub struct PacedFillers {
    pressures: PairTable<ImageName>,
    quiet_ratio: f64,
}

impl Default for PacedFillers {
    fn default() -> Self {
        Self {
            pressures: PairTable::new(IMAGES_MAX, HALF_LIFE_MS),
            quiet_ratio: QUIET_RATIO,
        }
    }
}

impl PacedFillers {
    fn excess_of(&self, filler: &FillerSample, now_ms: u64) -> f64 {
        self.predicted_excess(filler.image.as_ref(), filler.cpu_share, now_ms)
    }

    fn slow_down(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        let working = || {
            sample
                .fillers
                .iter()
                .filter(|filler| filler.pace_percent > 0)
        };
        if sample.over_for >= OVER_MAX {
            return working()
                .map(|filler| TailStep::Pace(filler.task, filler.run, 0))
                .collect();
        }
        let heavy = working().filter(|filler| self.excess_of(filler, now_ms) >= HEAVY_EXCESS);
        let steps: Vec<TailStep> = heavy
            .map(|filler| match filler.can_move {
                true => TailStep::Move(filler.task, filler.run),
                false => TailStep::Pace(filler.task, filler.run, 0),
            })
            .collect();
        if !steps.is_empty() {
            return steps;
        }
        working()
            .map(|filler| TailStep::Pace(filler.task, filler.run, filler.pace_percent / 2))
            .collect()
    }

    fn speed_up(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        let mut room = HIGH_RATIO - sample.worst_ratio;
        let mut slowed: Vec<&FillerSample> = sample
            .fillers
            .iter()
            .filter(|filler| filler.pace_percent < 100)
            .collect();
        slowed.sort_by(|a, b| {
            self.excess_of(a, now_ms)
                .total_cmp(&self.excess_of(b, now_ms))
        });
        let mut steps = Vec::new();
        for filler in slowed {
            let percent = (filler.pace_percent + RAISE_PERCENT).min(100);
            let raise = f64::from(percent - filler.pace_percent) / 100.0;
            let excess = self.excess_of(filler, now_ms).max(0.0) * raise;
            if excess > room {
                break;
            }
            room -= excess;
            steps.push(TailStep::Pace(filler.task, filler.run, percent));
        }
        steps
    }
}

impl Interference for PacedFillers {
    fn learn(&mut self, sample: &TailSample, now_ms: u64) {
        let shares: Vec<(ImageName, f64)> = sample
            .fillers
            .iter()
            .filter_map(|filler| {
                let share = filler.cpu_share * f64::from(filler.pace_percent) / 100.0;
                filler.image.clone().map(|image| (image, share))
            })
            .filter(|(_, share)| *share > 0.0)
            .collect();
        if shares.is_empty() {
            if sample.fillers.is_empty() {
                self.quiet_ratio += QUIET_RATE * (sample.worst_ratio - self.quiet_ratio);
            }
            return;
        }
        let excess = sample.worst_ratio - self.quiet_ratio;
        let mut merged: Vec<(ImageName, f64)> = Vec::new();
        for (image, share) in shares {
            match merged.iter_mut().find(|(known, _)| *known == image) {
                Some((_, sum)) => *sum += share,
                None => merged.push((image, share)),
            }
        }
        self.pressures.learn(&merged, excess, now_ms);
    }

    fn steps(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        if sample.worst_ratio >= HIGH_RATIO {
            self.slow_down(sample, now_ms)
        } else if sample.worst_ratio < LOW_RATIO {
            self.speed_up(sample, now_ms)
        } else {
            Vec::new()
        }
    }

    fn predicted_excess(&self, image: Option<&ImageName>, cpu_share: f64, now_ms: u64) -> f64 {
        image.map_or(0.0, |image| {
            self.pressures.weight(image, now_ms).max(0.0) * cpu_share
        })
    }
}
