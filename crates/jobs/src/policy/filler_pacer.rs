use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_scheduler::interference::PairTable;

use super::FillerAction;
use super::FillerSample;
use super::ImageLoad;
use super::InterferenceController;
use super::LearnedInterference;
use super::LearnedPressure;
use super::TailSample;
use super::load_forecast::LoadForecast;
use crate::fleet::Headroom;
use crate::model::ImageName;
use crate::model::TaskId;

/// The pairs of images that are remembered at most.
const PAIRS_MAX: usize = 4_096;
/// The serving tasks whose loads are followed at most.
const TASKS_MAX: usize = 65_536;
/// How long a pair's pressure is believed without a sample.
const HALF_LIFE_MS: u64 = 300_000;
/// The extra load below which a sample counts as undisturbed, as a multiple of the task's own.
const QUIET_EXTRA: f64 = 0.05;
/// The extra load from which a sample counts as a peak.
const PEAK_EXTRA: f64 = 0.6;
/// How much faster peaks are learned: a tail is lost in one.
const PEAK_SPEED: f64 = 4.0;
/// The least and the most extra load that one sample may tell.
const EXTRA_RANGE: (f64, f64) = (-0.7, 2.0);
/// The tail ratio that fillers may cause at most.
const HIGH_RATIO: f64 = 0.8;
/// The tail ratio up to which fillers are sped up.
const RAISED_RATIO: f64 = 0.6;
/// The most that a load swings to, as a multiple of the usual one; what is beyond it is caused by
/// fillers.
const SWING_MAX: f64 = 1.5;
/// Weights below this are noise: pairs disturb much or not at all.
const WEIGHT_MIN: f64 = 1.2;
/// How far the followed load counts beside the usual one when a pair is learned; alone, each would
/// take its own error for the other's.
const FOLLOWED_SHARE: f64 = 0.5;
/// How far ahead loads are looked at: a report, an order and its effect take that long.
const AHEAD_MS: u64 = 600;
/// A load that has not been followed for this long is not believed.
const LOAD_AGE_MAX_MS: u64 = 3_000;
/// The least pace at which a filler is worth its memory, in percent.
const PACE_MIN_PERCENT: u32 = 30;
/// The least change of a pace that is worth an order, in percent.
const PACE_STEP_PERCENT: u32 = 20;
/// The samples after which a pair that was found harmless is believed to be.
const TRUSTED_SAMPLES: u32 = 30;
/// The weight up to which a pair counts as harmless.
const HARMLESS_WEIGHT: f64 = 0.5;
/// The time over the target after which fillers stop working that are not known to be harmless.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_400);
/// The time over the target after which all fillers stop working; a rule gives 4 s or more.
const STOP_AFTER: Duration = Duration::from_millis(2_400);

/// Lets fillers work as far as the loads of what serves beside them leave room.
///
/// What is learned belongs to pairs of images: a filler raises the load of some serving images
/// much and that of others not at all. The load that a task's own users put on it swings, so what
/// stops at a peak may go on in a trough.
#[derive(Clone, Debug)]
pub struct FillerPacer {
    pressures: PairTable<(ImageName, ImageName)>,
    images: BTreeMap<ImageName, ImageLoad>,
    loads: BTreeMap<TaskId, LoadForecast>,
}

impl Default for FillerPacer {
    fn default() -> Self {
        Self {
            pressures: PairTable::new(PAIRS_MAX, HALF_LIFE_MS),
            images: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }
}

/// What the tasks of one serving image bear, and how much of it is left.
struct Limit<'a> {
    image: &'a ImageName,
    left: f64,
}

/// The place of a filler among those that share what serving tasks bear.
struct Turn {
    /// Its place in the sample.
    index: usize,
    /// How much it disturbs for its processors.
    cost: f64,
    /// By how much it is slowed down now, in percent.
    slowed: u32,
    /// The extra load that it causes at full pace for each limit.
    extras: Vec<f64>,
}

impl FillerPacer {
    fn image(&self, image: &ImageName) -> ImageLoad {
        self.images.get(image).copied().unwrap_or_default()
    }

    fn weight(&self, serving: &ImageName, filler: &ImageName, now_ms: u64) -> f64 {
        let pair = (serving.clone(), filler.clone());
        let weight = self.pressures.weight(&pair, now_ms);
        if weight < WEIGHT_MIN { 0.0 } else { weight }
    }

    /// Returns the extra load that shares of fillers cause.
    fn extra(&self, serving: &ImageName, shares: &[(ImageName, f64)], now_ms: u64) -> f64 {
        let extras = shares
            .iter()
            .map(|(filler, share)| self.weight(serving, filler, now_ms) * share);
        extras.sum()
    }

    /// Returns the extra load that a filler causes at full pace.
    fn extra_of(&self, serving: &ImageName, filler: &FillerSample, now_ms: u64) -> f64 {
        let image = filler.image.as_ref();
        image.map_or(0.0, |image| self.weight(serving, image, now_ms)) * filler.cpu_share
    }

    /// Returns whether a filler may disturb some tail, by what is known of its pairs.
    fn is_suspect(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> bool {
        let Some(image) = &filler.image else {
            return true;
        };
        sample.tails.iter().any(|tail| {
            let pair = (tail.image.clone(), image.clone());
            self.pressures.samples(&pair) < TRUSTED_SAMPLES
                || self.pressures.weight(&pair, now_ms) > HARMLESS_WEIGHT
        })
    }

    /// Returns the load of a task that is expected when an order has its effect.
    fn expected_load(&self, task: TaskId, image: &ImageLoad, now_ms: u64) -> f64 {
        match self.loads.get(&task) {
            Some(load) if load.age_ms(now_ms) <= LOAD_AGE_MAX_MS => load.at(now_ms + AHEAD_MS),
            _ => image.peak,
        }
    }

    /// Returns the extra load that each serving image of a sample bears below a tail ratio.
    fn limits<'s>(&self, sample: &'s TailSample, ratio: f64, now_ms: u64) -> Vec<Limit<'s>> {
        let mut limits: Vec<Limit<'s>> = Vec::new();
        for tail in &sample.tails {
            let image = self.image(&tail.image);
            let load = self.expected_load(tail.task, &image, now_ms);
            let left = borne(&image, load, ratio);
            match limits.iter_mut().find(|limit| *limit.image == tail.image) {
                Some(limit) => limit.left = limit.left.min(left),
                None => limits.push(Limit {
                    image: &tail.image,
                    left,
                }),
            }
        }
        limits
    }

    /// Returns the pace of each filler at which no tail is expected above a ratio.
    ///
    /// Those that disturb least for their processors go first, among equals those that work now.
    fn paces(&self, sample: &TailSample, ratio: f64, now_ms: u64) -> Vec<u32> {
        let mut limits = self.limits(sample, ratio, now_ms);
        let mut order: Vec<Turn> = sample
            .fillers
            .iter()
            .enumerate()
            .map(|(index, filler)| self.turn(index, filler, &limits, now_ms))
            .collect();
        order.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.slowed.cmp(&b.slowed)));
        let mut paces = vec![0; sample.fillers.len()];
        for Turn { index, extras, .. } in order {
            let fractions = extras.iter().zip(&limits).map(|(extra, limit)| {
                if *extra <= 0.0 {
                    1.0
                } else {
                    limit.left / extra
                }
            });
            let fraction = fractions.fold(1.0, f64::min).max(0.0);
            let percent = (fraction * 10.0) as u32 * 10;
            if percent < PACE_MIN_PERCENT {
                continue;
            }
            paces[index] = percent;
            for (extra, limit) in extras.iter().zip(&mut limits) {
                limit.left -= extra * f64::from(percent) / 100.0;
            }
        }
        paces
    }

    fn turn(&self, index: usize, filler: &FillerSample, limits: &[Limit<'_>], now_ms: u64) -> Turn {
        let extras = limits.iter();
        let extras: Vec<f64> = extras
            .map(|limit| self.extra_of(limit.image, filler, now_ms))
            .collect();
        let costs = extras.iter().zip(limits);
        let costs = costs.map(|(extra, limit)| extra / limit.left.max(QUIET_EXTRA));
        Turn {
            index,
            cost: costs.fold(0.0, f64::max) / filler.cpu_share.max(f64::EPSILON),
            slowed: 100 - filler.pace_percent,
            extras,
        }
    }
}

/// Returns the extra load that a task bears below a tail ratio, as a multiple of its own.
fn borne(image: &ImageLoad, load: f64, ratio: f64) -> f64 {
    (image.used_at(ratio) / load.max(QUIET_EXTRA) - 1.0).max(0.0)
}

/// Returns the tails of each serving image.
fn by_image(sample: &TailSample) -> BTreeMap<&ImageName, Vec<(TaskId, f64)>> {
    let mut tails: BTreeMap<&ImageName, Vec<(TaskId, f64)>> = BTreeMap::new();
    for tail in &sample.tails {
        let of_image = tails.entry(&tail.image).or_default();
        of_image.push((tail.task, tail.ratio));
    }
    tails
}

impl InterferenceController for FillerPacer {
    fn learn(&mut self, sample: &TailSample, now_ms: u64) {
        if self.loads.len() > TASKS_MAX {
            self.loads
                .retain(|_, load| load.age_ms(now_ms) <= LOAD_AGE_MAX_MS);
        }
        for (name, tails) in by_image(sample) {
            let extra = self.extra(name, &sample.filler_shares, now_ms);
            let mut image = self.image(name);
            let mut seen = 0.0;
            for (task, ratio) in &tails {
                if sample.filler_shares.is_empty() {
                    image.follow_quiet(*ratio);
                }
                let used = image.used_at(*ratio);
                let highest = image.usual * SWING_MAX;
                let load = (used / (1.0 + extra)).min(highest);
                let followed = self
                    .loads
                    .entry(*task)
                    .or_insert_with(|| LoadForecast::new(image.usual, now_ms));
                let expected = match followed.age_ms(now_ms) <= LOAD_AGE_MAX_MS {
                    true => followed.at(now_ms).clamp(QUIET_EXTRA, highest),
                    false => image.usual,
                };
                let expected = image.usual + FOLLOWED_SHARE * (expected - image.usual);
                seen += used / expected - 1.0;
                followed.follow(load, now_ms);
                if sample.filler_shares.is_empty() {
                    image.follow_peak(followed.at(now_ms));
                }
            }
            self.images.insert(name.clone(), image);
            let pairs: Vec<((ImageName, ImageName), f64)> = sample
                .filler_shares
                .iter()
                .map(|(filler, share)| ((name.clone(), filler.clone()), *share))
                .collect();
            if !pairs.is_empty() {
                let (least, most) = EXTRA_RANGE;
                let seen = (seen / tails.len() as f64).clamp(least, most);
                let speed = if seen > PEAK_EXTRA { PEAK_SPEED } else { 1.0 };
                self.pressures.learn_at(&pairs, seen, speed, now_ms);
            }
        }
    }

    fn learned(&self, now_ms: u64) -> LearnedInterference {
        let pressures = self.pressures.entries(now_ms);
        LearnedInterference {
            images: self
                .images
                .iter()
                .map(|(name, image)| (name.clone(), *image))
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

    fn restore(&mut self, learned: LearnedInterference, now_ms: u64) {
        self.images.extend(learned.images);
        for pressure in learned.pressures {
            let pair = (pressure.serving, pressure.filler);
            self.pressures
                .restore(pair, pressure.weight, pressure.samples, now_ms);
        }
    }

    fn actions(&self, sample: &TailSample, now_ms: u64) -> Vec<FillerAction> {
        let highest = self.paces(sample, HIGH_RATIO, now_ms);
        let raised = self.paces(sample, RAISED_RATIO, now_ms);
        let is_over = sample.worst_ratio() > 1.0;
        let mut steps = Vec::new();
        for ((filler, highest), raised) in sample.fillers.iter().zip(highest).zip(raised) {
            let present = filler.pace_percent;
            let mut percent = present.min(highest);
            if !is_over && raised > present {
                percent = raised;
            }
            let is_last_resort = sample.over_target_for >= STOP_AFTER
                || sample.over_target_for >= SUSPECT_AFTER
                    && self.is_suspect(filler, sample, now_ms);
            if is_last_resort {
                percent = 0;
            }
            let is_small = percent.abs_diff(present) < PACE_STEP_PERCENT;
            if percent == 0 && filler.can_move && highest == 0 {
                steps.push(FillerAction::Move(filler.task, filler.run));
            } else if percent == 0 || percent == 100 || !is_small {
                steps.push(FillerAction::Pace(filler.task, filler.run, percent));
            }
        }
        steps
    }

    fn headroom(&self, sample: &TailSample, now_ms: u64) -> Vec<Headroom> {
        let limits = self.limits(sample, HIGH_RATIO, now_ms);
        let headrooms = limits.into_iter().map(|limit| {
            let image = self.image(limit.image);
            let extras = sample.fillers.iter().map(|filler| {
                let extra = self.extra_of(limit.image, filler, now_ms);
                (extra * f64::from(filler.pace_percent) / 100.0, extra)
            });
            let (present, full) =
                extras.fold((0.0, 0.0), |sum, extra| (sum.0 + extra.0, sum.1 + extra.1));
            Headroom {
                image: limit.image.clone(),
                at_current_load: limit.left - present,
                at_peak_load: borne(&image, image.peak, HIGH_RATIO) - full,
            }
        });
        headrooms.collect()
    }

    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)> {
        let weights = self
            .images
            .keys()
            .map(|serving| (serving.clone(), self.weight(serving, filler, now_ms)));
        weights.filter(|(_, weight)| *weight > 0.0).collect()
    }
}
