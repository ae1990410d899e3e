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

/// The largest number of pairs of images with a learned weight.
const PAIRS_MAX: usize = 4_096;
/// The largest number of serving images with a learned load; clients choose the names.
const IMAGES_MAX: usize = 1_024;
/// The largest size of the learned state that is exported, below the store's limit for a record.
const LEARNED_BYTES_MAX: usize = 192 << 10;
/// The size of an exported entry without its names, rounded up.
const LEARNED_ENTRY_BYTES: usize = 32;
/// The number of load forecasts above which outdated ones are removed.
const FORECASTS_MAX: usize = 65_536;
/// The half-life of a pair's weight without further samples.
const WEIGHT_HALF_LIFE_MS: u64 = 300_000;
/// The smallest load and the smallest budget that are used as a divisor.
const DIVISOR_MIN: f64 = 0.05;
/// The extra load from which a sample counts as a peak.
const PEAK_EXTRA_LOAD: f64 = 0.6;
/// How much faster weights are learned from a peak: a single peak is enough to miss a target.
const PEAK_LEARNING_SPEED: f64 = 4.0;
/// The range to which the extra load of one sample is limited.
const EXTRA_LOAD_RANGE: (f64, f64) = (-0.7, 2.0);
/// The highest tail ratio that fillers may cause.
const TAIL_RATIO_MAX: f64 = 0.8;
/// The expected tail ratio up to which fillers are sped up.
const SPEED_UP_RATIO_MAX: f64 = 0.6;
/// The highest load that users alone cause, as a multiple of the mean load; fillers cause the rest.
const LOAD_SWING_MAX: f64 = 1.5;
/// Smaller weights are noise: a pair either interferes strongly or not at all.
const WEIGHT_MIN: f64 = 1.2;
/// The share of the forecast in the expected load when weights are learned, beside the mean load.
/// With the forecast alone, forecast and weight would each absorb the other's error.
const FORECAST_SHARE: f64 = 0.5;
/// How far ahead loads are forecast: the time of a report, an order and the order's effect.
const HORIZON_MS: u64 = 600;
/// The age beyond which a forecast is outdated.
const LOAD_AGE_MAX_MS: u64 = 3_000;
/// The lowest pace at which a filler is worth the memory that it occupies.
const PACE_MIN_PERCENT: u32 = 30;
/// The smallest change of a pace that is worth an order.
const PACE_CHANGE_MIN_PERCENT: u32 = 20;
/// The number of samples from which a small weight proves a pair harmless.
const HARMLESS_SAMPLES_MIN: u32 = 30;
/// The weight up to which a pair counts as harmless.
const HARMLESS_WEIGHT_MAX: f64 = 0.5;
/// The time over the target after which fillers stop, except those that are known to be harmless.
const SUSPECTS_STOP_AFTER: Duration = Duration::from_millis(1_400);
/// The time over the target after which all fillers stop. The platform's rule tolerates 4 s or
/// more.
const ALL_STOP_AFTER: Duration = Duration::from_millis(2_400);

/// Paces fillers by the load that the serving tasks beside them can tolerate.
///
/// Interference is learned for pairs of images: a filler image adds much load to some serving
/// images and none to others. The load that users put on a serving task swings, so a filler that
/// stops at a peak can continue in a trough.
#[derive(Clone, Debug)]
pub struct FillerPacer {
    pressures: PairTable<(ImageName, ImageName)>,
    images: BTreeMap<ImageName, LearnedImage>,
    forecasts: BTreeMap<TaskId, LoadForecast>,
}

impl Default for FillerPacer {
    fn default() -> Self {
        Self {
            pressures: PairTable::new(PAIRS_MAX, WEIGHT_HALF_LIFE_MS),
            images: BTreeMap::new(),
            forecasts: BTreeMap::new(),
        }
    }
}

/// The learned load of a serving image, and when it was last updated.
#[derive(Clone, Copy, Debug)]
struct LearnedImage {
    load: ImageLoad,
    updated_ms: u64,
}

/// The extra load that the tasks of one serving image still tolerate, as a multiple of their own.
struct LoadBudget<'a> {
    image: &'a ImageName,
    left: f64,
}

/// A filler that competes for the load budgets.
struct RankedFiller {
    /// The position of the filler in the sample.
    index: usize,
    /// The largest part of a budget that the filler uses, per unit of its processor share.
    cost: f64,
    /// The share of its full speed that the filler lacks now, in percent.
    slowdown: u32,
    /// The extra load at full pace, for each budget.
    extra_loads: Vec<f64>,
}

impl FillerPacer {
    fn image_load(&self, image: &ImageName) -> ImageLoad {
        let learned = self.images.get(image);
        learned.map(|learned| learned.load).unwrap_or_default()
    }

    /// Sets the load of an image. A new one replaces the image that was updated least recently if
    /// there are too many.
    fn set_image_load(&mut self, image: &ImageName, load: ImageLoad, now_ms: u64) {
        if !self.images.contains_key(image) && self.images.len() >= IMAGES_MAX {
            let oldest = self.images.iter().min_by_key(|(_, known)| known.updated_ms);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.images.remove(&oldest);
            }
        }
        let updated_ms = now_ms;
        self.images
            .insert(image.clone(), LearnedImage { load, updated_ms });
    }

    fn weight(&self, serving: &ImageName, filler: &ImageName, now_ms: u64) -> f64 {
        let pair = (serving.clone(), filler.clone());
        let weight = self.pressures.weight(&pair, now_ms);
        if weight < WEIGHT_MIN { 0.0 } else { weight }
    }

    /// Returns the extra load that fillers cause with their shares of the processors.
    fn extra_load(&self, serving: &ImageName, shares: &[(ImageName, f64)], now_ms: u64) -> f64 {
        let extra_loads = shares
            .iter()
            .map(|(filler, share)| self.weight(serving, filler, now_ms) * share);
        extra_loads.sum()
    }

    fn full_pace_extra_load(&self, serving: &ImageName, filler: &FillerSample, now_ms: u64) -> f64 {
        let image = filler.image.as_ref();
        image.map_or(0.0, |image| self.weight(serving, image, now_ms)) * filler.cpu_share
    }

    /// Returns whether a filler is not known to be harmless to each serving image of the sample.
    fn is_suspect(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> bool {
        let Some(image) = &filler.image else {
            return true;
        };
        sample.tails.iter().any(|tail| {
            let pair = (tail.image.clone(), image.clone());
            self.pressures.samples(&pair) < HARMLESS_SAMPLES_MIN
                || self.pressures.weight(&pair, now_ms) > HARMLESS_WEIGHT_MAX
        })
    }

    /// Returns the expected load of a task at the time when an order takes effect; the peak load of
    /// its image without a current forecast.
    fn expected_load(&self, task: TaskId, image: &ImageLoad, now_ms: u64) -> f64 {
        match self.forecasts.get(&task) {
            Some(load) if load.age_ms(now_ms) <= LOAD_AGE_MAX_MS => load.at(now_ms + HORIZON_MS),
            _ => image.peak,
        }
    }

    /// Returns the extra load that each serving image of a sample tolerates up to a tail ratio;
    /// the most loaded task of an image decides.
    fn budgets<'s>(&self, sample: &'s TailSample, ratio: f64, now_ms: u64) -> Vec<LoadBudget<'s>> {
        let mut budgets: Vec<LoadBudget<'s>> = Vec::new();
        for tail in &sample.tails {
            let image = self.image_load(&tail.image);
            let load = self.expected_load(tail.task, &image, now_ms);
            let left = tolerated_extra_load(&image, load, ratio);
            match budgets
                .iter_mut()
                .find(|budget| *budget.image == tail.image)
            {
                Some(budget) => budget.left = budget.left.min(left),
                None => budgets.push(LoadBudget {
                    image: &tail.image,
                    left,
                }),
            }
        }
        budgets
    }

    /// Returns the pace of each filler at which no tail is expected above a ratio, in percent.
    ///
    /// Fillers with the least interference for each processor go first; among equals, those with
    /// the highest present pace.
    fn sustainable_paces(&self, sample: &TailSample, ratio: f64, now_ms: u64) -> Vec<u32> {
        let mut budgets = self.budgets(sample, ratio, now_ms);
        let mut ranked: Vec<RankedFiller> = sample
            .fillers
            .iter()
            .enumerate()
            .map(|(index, filler)| self.rank_filler(index, filler, &budgets, now_ms))
            .collect();
        ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.slowdown.cmp(&b.slowdown)));
        let mut paces = vec![0; sample.fillers.len()];
        for RankedFiller {
            index, extra_loads, ..
        } in ranked
        {
            let fractions = extra_loads
                .iter()
                .zip(&budgets)
                .map(|(extra_load, budget)| {
                    if *extra_load <= 0.0 {
                        1.0
                    } else {
                        budget.left / extra_load
                    }
                });
            let fraction = fractions.fold(1.0, f64::min).max(0.0);
            let percent = (fraction * 10.0) as u32 * 10;
            if percent < PACE_MIN_PERCENT {
                continue;
            }
            paces[index] = percent;
            for (extra_load, budget) in extra_loads.iter().zip(&mut budgets) {
                budget.left -= extra_load * f64::from(percent) / 100.0;
            }
        }
        paces
    }

    fn rank_filler(
        &self,
        index: usize,
        filler: &FillerSample,
        budgets: &[LoadBudget<'_>],
        now_ms: u64,
    ) -> RankedFiller {
        let extra_loads = budgets.iter();
        let extra_loads: Vec<f64> = extra_loads
            .map(|budget| self.full_pace_extra_load(budget.image, filler, now_ms))
            .collect();
        let costs = extra_loads.iter().zip(budgets);
        let costs = costs.map(|(extra_load, budget)| extra_load / budget.left.max(DIVISOR_MIN));
        RankedFiller {
            index,
            cost: costs.fold(0.0, f64::max) / filler.cpu_share.max(f64::EPSILON),
            slowdown: 100 - filler.pace_percent,
            extra_loads,
        }
    }
}

/// Returns the extra load that a task tolerates up to a tail ratio, as a multiple of its own load.
fn tolerated_extra_load(image: &ImageLoad, load: f64, ratio: f64) -> f64 {
    (image.utilization_at(ratio) / load.max(DIVISOR_MIN) - 1.0).max(0.0)
}

fn tails_by_image(sample: &TailSample) -> BTreeMap<&ImageName, Vec<(TaskId, f64)>> {
    let mut tails: BTreeMap<&ImageName, Vec<(TaskId, f64)>> = BTreeMap::new();
    for tail in &sample.tails {
        let of_image = tails.entry(&tail.image).or_default();
        of_image.push((tail.task, tail.ratio));
    }
    tails
}

impl InterferenceController for FillerPacer {
    fn learn(&mut self, sample: &TailSample, now_ms: u64) {
        if self.forecasts.len() > FORECASTS_MAX {
            self.forecasts
                .retain(|_, load| load.age_ms(now_ms) <= LOAD_AGE_MAX_MS);
        }
        for (name, tails) in tails_by_image(sample) {
            let extra_load = self.extra_load(name, &sample.filler_shares, now_ms);
            let mut image = self.image_load(name);
            let mut observed = 0.0;
            for (task, ratio) in &tails {
                if sample.filler_shares.is_empty() {
                    image.update_undisturbed(*ratio);
                }
                let utilization = image.utilization_at(*ratio);
                let load_max = image.usual * LOAD_SWING_MAX;
                let load = (utilization / (1.0 + extra_load)).min(load_max);
                let forecast = self
                    .forecasts
                    .entry(*task)
                    .or_insert_with(|| LoadForecast::new(image.usual, now_ms));
                let expected = match forecast.age_ms(now_ms) <= LOAD_AGE_MAX_MS {
                    true => forecast.at(now_ms).clamp(DIVISOR_MIN, load_max),
                    false => image.usual,
                };
                let expected = image.usual + FORECAST_SHARE * (expected - image.usual);
                observed += utilization / expected - 1.0;
                forecast.update(load, now_ms);
                if sample.filler_shares.is_empty() {
                    image.update_peak(forecast.at(now_ms));
                }
            }
            self.set_image_load(name, image, now_ms);
            let pairs: Vec<((ImageName, ImageName), f64)> = sample
                .filler_shares
                .iter()
                .map(|(filler, share)| ((name.clone(), filler.clone()), *share))
                .collect();
            if !pairs.is_empty() {
                let (least, most) = EXTRA_LOAD_RANGE;
                let observed = (observed / tails.len() as f64).clamp(least, most);
                let speed = if observed > PEAK_EXTRA_LOAD {
                    PEAK_LEARNING_SPEED
                } else {
                    1.0
                };
                self.pressures.learn_scaled(&pairs, observed, speed, now_ms);
            }
        }
    }

    /// Exports the images that were updated last and the pairs with the most samples, as many as fit
    /// into a record.
    fn learned(&self, now_ms: u64) -> LearnedInterference {
        let mut left_bytes = LEARNED_BYTES_MAX;
        let mut fits = |names_bytes: usize| {
            let size = names_bytes + LEARNED_ENTRY_BYTES;
            let fits = size <= left_bytes;
            left_bytes = left_bytes.saturating_sub(size);
            fits
        };
        let mut images: Vec<(&ImageName, &LearnedImage)> = self.images.iter().collect();
        images.sort_by_key(|(_, image)| std::cmp::Reverse(image.updated_ms));
        let images = images
            .into_iter()
            .take_while(|(name, _)| fits(name.as_str().len()))
            .map(|(name, image)| (name.clone(), image.load))
            .collect();
        let mut pressures: Vec<_> = self.pressures.entries(now_ms).collect();
        pressures.sort_by_key(|(_, _, samples)| std::cmp::Reverse(*samples));
        let pressures = pressures
            .into_iter()
            .take_while(|((serving, filler), ..)| {
                fits(serving.as_str().len() + filler.as_str().len())
            })
            .map(|((serving, filler), weight, samples)| LearnedPressure {
                serving: serving.clone(),
                filler: filler.clone(),
                weight,
                samples,
            })
            .collect();
        LearnedInterference { images, pressures }
    }

    fn restore(&mut self, learned: LearnedInterference, now_ms: u64) {
        for (name, load) in learned.images {
            self.set_image_load(&name, load, now_ms);
        }
        for pressure in learned.pressures {
            let pair = (pressure.serving, pressure.filler);
            self.pressures
                .restore(pair, pressure.weight, pressure.samples, now_ms);
        }
    }

    fn actions(&self, sample: &TailSample, now_ms: u64) -> Vec<FillerAction> {
        let pace_max = self.sustainable_paces(sample, TAIL_RATIO_MAX, now_ms);
        let speed_up_pace = self.sustainable_paces(sample, SPEED_UP_RATIO_MAX, now_ms);
        let is_over = sample.worst_ratio() > 1.0;
        let mut actions = Vec::new();
        for ((filler, pace_max), speed_up_pace) in
            sample.fillers.iter().zip(pace_max).zip(speed_up_pace)
        {
            let present = filler.pace_percent;
            let mut percent = present.min(pace_max);
            if !is_over && speed_up_pace > present {
                percent = speed_up_pace;
            }
            let is_last_resort = sample.over_target_for >= ALL_STOP_AFTER
                || sample.over_target_for >= SUSPECTS_STOP_AFTER
                    && self.is_suspect(filler, sample, now_ms);
            if is_last_resort {
                percent = 0;
            }
            let is_small = percent.abs_diff(present) < PACE_CHANGE_MIN_PERCENT;
            if percent == 0 && filler.can_move && pace_max == 0 {
                actions.push(FillerAction::Move(filler.task, filler.run));
            } else if percent == 0 || percent == 100 || !is_small {
                actions.push(FillerAction::Pace(filler.task, filler.run, percent));
            }
        }
        actions
    }

    fn headroom(&self, sample: &TailSample, now_ms: u64) -> Vec<Headroom> {
        let budgets = self.budgets(sample, TAIL_RATIO_MAX, now_ms);
        let headrooms = budgets.into_iter().map(|budget| {
            let image = self.image_load(budget.image);
            let extra_loads = sample.fillers.iter().map(|filler| {
                let extra_load = self.full_pace_extra_load(budget.image, filler, now_ms);
                (
                    extra_load * f64::from(filler.pace_percent) / 100.0,
                    extra_load,
                )
            });
            let (present, full) =
                extra_loads.fold((0.0, 0.0), |sum, extra| (sum.0 + extra.0, sum.1 + extra.1));
            Headroom {
                image: budget.image.clone(),
                at_current_load: budget.left - present,
                at_peak_load: tolerated_extra_load(&image, image.peak, TAIL_RATIO_MAX) - full,
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
