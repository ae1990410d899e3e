use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_scheduler::interference::PairTable;

use super::FillerSample;
use super::Interference;
use super::LearnedPressure;
use super::LearnedTails;
use super::TailSample;
use super::TailStep;
use crate::model::ImageName;

/// The pairs of images that are remembered at most.
const PAIRS_MAX: usize = 4_096;
/// How long a pair's pressure is believed without a sample; what changes within seconds is the
/// load of what serves.
const HALF_LIFE_MS: u64 = 300_000;
/// The tail ratio of a serving task without fillers, before anything is learned.
const QUIET_RATIO: f64 = 0.45;
/// How fast the quiet ratio of an image follows samples without fillers.
const QUIET_RATE: f64 = 0.05;
/// Ratios above this teach nothing more.
const LEARNED_RATIO_MAX: f64 = 3.0;
/// The excess from which a sample counts as a peak.
const PEAK_EXCESS: f64 = 0.4;
/// How much faster peaks are learned: disturbance comes in bursts, and a tail is lost in one.
const PEAK_SPEED: f64 = 4.0;
/// The tail ratio from which fillers are slowed down.
const HIGH_RATIO: f64 = 0.95;
/// The tail ratio that slowing down aims at.
const AIM_RATIO: f64 = 0.8;
/// The tail ratio below which fillers are let go faster.
const LOW_RATIO: f64 = 0.75;
/// The least excess of a filler that is worth a step.
const EXCESS_MIN: f64 = 0.05;
/// A filler that raises the tail ratio by this much is moved rather than slowed down.
const HEAVY_EXCESS: f64 = 0.2;
/// The time over the target after which fillers are slowed down that are not known to disturb.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// The time over the target after which all fillers stop working; a rule gives 4 s or more.
const STOP_AFTER: Duration = Duration::from_millis(1_900);
/// By how much a filler's pace rises at a time, in percent.
const RAISE_PERCENT: u32 = 100;

/// Slows fillers down by what they were seen to cause, and speeds them up again.
///
/// What is learned belongs to pairs of images: a filler disturbs some serving images much and
/// others not at all.
#[derive(Clone, Debug)]
pub struct PacedFillers {
    pressures: PairTable<(ImageName, ImageName)>,
    quiet_ratios: BTreeMap<ImageName, f64>,
}

impl Default for PacedFillers {
    fn default() -> Self {
        Self {
            pressures: PairTable::new(PAIRS_MAX, HALF_LIFE_MS),
            quiet_ratios: BTreeMap::new(),
        }
    }
}

impl PacedFillers {
    fn quiet_ratio(&self, serving: &ImageName) -> f64 {
        self.quiet_ratios
            .get(serving)
            .copied()
            .unwrap_or(QUIET_RATIO)
    }

    /// Returns by how much a filler at full pace raises the tails that matter here.
    ///
    /// Tails that are far from their targets anyway don't count.
    fn excess_of(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> f64 {
        let excesses = self.excesses_of(filler, sample, now_ms);
        let near = sample.tails.iter().zip(excesses);
        let near = near.filter(|(tail, _)| tail.ratio >= LOW_RATIO);
        near.map(|(_, excess)| excess).fold(0.0, f64::max)
    }

    /// Returns the fillers with what they cause, those that cause most first.
    fn by_excess<'s>(&self, sample: &'s TailSample, now_ms: u64) -> Vec<(f64, &'s FillerSample)> {
        let mut fillers: Vec<(f64, &FillerSample)> = sample
            .fillers
            .iter()
            .map(|filler| (self.excess_of(filler, sample, now_ms), filler))
            .collect();
        fillers.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        fillers
    }

    fn slow_down(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        let mut to_lower = sample.worst_ratio() - AIM_RATIO;
        let mut steps = Vec::new();
        for (excess, filler) in self.by_excess(sample, now_ms) {
            let is_known = excess >= EXCESS_MIN;
            if filler.pace_percent == 0 {
                if is_known && filler.can_move {
                    steps.push(TailStep::Move(filler.task, filler.run));
                }
                continue;
            }
            if is_known && to_lower > 0.0 {
                to_lower -= excess * f64::from(filler.pace_percent) / 100.0;
                steps.push(if excess >= HEAVY_EXCESS && filler.can_move {
                    TailStep::Move(filler.task, filler.run)
                } else {
                    TailStep::Pace(filler.task, filler.run, 0)
                });
            } else if sample.over_for >= STOP_AFTER {
                steps.push(TailStep::Pace(filler.task, filler.run, 0));
            } else if sample.over_for >= SUSPECT_AFTER {
                let percent = filler.pace_percent / 2;
                steps.push(TailStep::Pace(filler.task, filler.run, percent));
            }
        }
        steps
    }

    /// Lets slowed fillers go faster as far as no tail is expected to become too high, and moves
    /// those that must wait.
    fn speed_up(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        let mut ratios: Vec<f64> = sample.tails.iter().map(|tail| tail.ratio).collect();
        let slowed = sample
            .fillers
            .iter()
            .filter(|filler| filler.pace_percent < 100);
        let mut causes: Vec<(Vec<f64>, &FillerSample)> = slowed
            .map(|filler| (self.excesses_of(filler, sample, now_ms), filler))
            .collect();
        causes.sort_by(|(a, _), (b, _)| largest(a).total_cmp(&largest(b)));
        let mut steps = Vec::new();
        for (excesses, filler) in causes {
            let percent = (filler.pace_percent + RAISE_PERCENT).min(100);
            let raise = f64::from(percent - filler.pace_percent) / 100.0;
            let raised: Vec<f64> = ratios
                .iter()
                .zip(&excesses)
                .map(|(ratio, excess)| ratio + excess.max(0.0) * raise)
                .collect();
            if largest(&raised) <= HIGH_RATIO {
                ratios = raised;
                steps.push(TailStep::Pace(filler.task, filler.run, percent));
            } else if filler.pace_percent == 0 && filler.can_move {
                steps.push(TailStep::Move(filler.task, filler.run));
            }
        }
        steps
    }

    /// Returns by how much a filler at full pace raises each tail.
    fn excesses_of(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> Vec<f64> {
        let excess = |serving: &ImageName| match &filler.image {
            Some(image) => {
                let pair = (serving.clone(), image.clone());
                self.pressures.weight(&pair, now_ms) * filler.cpu_share
            }
            None => 0.0,
        };
        sample
            .tails
            .iter()
            .map(|tail| excess(&tail.image))
            .collect()
    }
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

impl Interference for PacedFillers {
    fn learn(&mut self, sample: &TailSample, now_ms: u64) {
        let mut shares: BTreeMap<&ImageName, f64> = BTreeMap::new();
        for filler in &sample.fillers {
            if let Some(image) = &filler.image {
                let share = filler.cpu_share * f64::from(filler.pace_percent) / 100.0;
                *shares.entry(image).or_default() += share;
            }
        }
        shares.retain(|_, share| *share > 0.0);
        for tail in &sample.tails {
            let ratio = tail.ratio.min(LEARNED_RATIO_MAX);
            let quiet_ratio = self.quiet_ratio(&tail.image);
            if shares.is_empty() {
                if sample.fillers.is_empty() {
                    let followed = quiet_ratio + QUIET_RATE * (ratio - quiet_ratio);
                    self.quiet_ratios.insert(tail.image.clone(), followed);
                }
                continue;
            }
            let pairs: Vec<((ImageName, ImageName), f64)> = shares
                .iter()
                .map(|(filler, share)| ((tail.image.clone(), (*filler).clone()), *share))
                .collect();
            let excess = ratio - quiet_ratio;
            let speed = if excess > PEAK_EXCESS {
                PEAK_SPEED
            } else {
                1.0
            };
            self.pressures.learn_at(&pairs, excess, speed, now_ms);
        }
    }

    fn learned(&self, now_ms: u64) -> LearnedTails {
        let quiet_ratios = self.quiet_ratios.iter();
        let pressures = self.pressures.entries(now_ms);
        LearnedTails {
            quiet_ratios: quiet_ratios
                .map(|(image, ratio)| (image.clone(), *ratio))
                .collect(),
            pressures: pressures
                .map(|((serving, filler), weight, samples)| LearnedPressure {
                    serving: serving.clone(),
                    filler: filler.clone(),
                    weight,
                    samples,
                })
                .collect(),
        }
    }

    fn restore(&mut self, learned: LearnedTails, now_ms: u64) {
        self.quiet_ratios.extend(learned.quiet_ratios);
        for pressure in learned.pressures {
            let pair = (pressure.serving, pressure.filler);
            self.pressures
                .restore(pair, pressure.weight, pressure.samples, now_ms);
        }
    }

    fn steps(&self, sample: &TailSample, now_ms: u64) -> Vec<TailStep> {
        let worst_ratio = sample.worst_ratio();
        if worst_ratio >= HIGH_RATIO {
            self.slow_down(sample, now_ms)
        } else if worst_ratio < LOW_RATIO {
            self.speed_up(sample, now_ms)
        } else {
            Vec::new()
        }
    }

    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)> {
        let served = self.quiet_ratios.keys();
        let weights = served.map(|serving| {
            let pair = (serving.clone(), filler.clone());
            (serving.clone(), self.pressures.weight(&pair, now_ms))
        });
        weights.filter(|(_, weight)| *weight > 0.0).collect()
    }
}
