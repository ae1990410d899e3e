use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::FillerAction;
use super::FillerSample;
use super::ImageLoad;
use super::InterferenceController;
use super::LearnedInterference;
use super::LearnedPressure;
use super::TailSample;
use super::load_forecast::LoadForecast;
use super::median::median;
use super::pressure_estimates::Pressure;
use super::pressure_estimates::PressureEstimates;
use crate::fleet::Headroom;
use crate::ledger::StepRef;
use crate::model::ImageName;
use crate::model::JobId;
use crate::model::TaskId;

/// The largest number of serving images with a learned load; clients choose the names.
const IMAGES_MAX: usize = 1_024;
/// The largest size of the learned state that is exported, below the store's limit for a record.
const LEARNED_BYTES_MAX: usize = 192 << 10;
/// The size of an exported entry without its names, rounded up.
const LEARNED_ENTRY_BYTES: usize = 32;
/// The number of load forecasts above which outdated ones are removed.
const FORECASTS_MAX: usize = 65_536;
/// The highest tail ratio that fillers may cause by forecast. It is above the target, since with lower
/// bounds batch work lost more than serving tasks gained; see docs/design/colocation.md.
const TAIL_RATIO_MAX: f64 = 1.1;
/// The highest tail ratio that fillers may cause at the peak load of a serving image.
const PEAK_RATIO_MAX: f64 = 1.0;
/// The expected tail ratio up to which fillers are sped up.
const SPEED_UP_RATIO_MAX: f64 = 0.95;
/// The number of standard deviations by which an expected load is raised, to allow for its error.
const LOAD_MARGIN_DEVIATIONS: f64 = 0.5;
/// The number of standard deviations by which a pressure is raised for a placement, so that pairs
/// that are not known yet are tried where little harm can be done.
const PLACEMENT_MARGIN_DEVIATIONS: f64 = 1.0;
/// The utilization from which a tail no longer tells how far a task is overloaded.
const SATURATED_UTILIZATION: f64 = 0.95;
/// The variance of what fillers add to a utilization while a change of their pace takes effect.
const UNSETTLED_VARIANCE: f64 = 0.1 * 0.1;
/// How far ahead loads are forecast: the time of a report, an order and the order's effect.
const HORIZON_MS: u64 = 600;
/// The age beyond which a forecast is outdated.
const LOAD_AGE_MAX_MS: u64 = 3_000;
/// The lowest pace at which a filler is worth the memory that it occupies.
const PACE_MIN_PERCENT: u32 = 30;
/// The smallest change of a pace that is worth an order.
const PACE_CHANGE_MIN_PERCENT: u32 = 20;
/// The extra utilization below which a filler is not paced by forecasts: its pause would hardly help.
const PACED_EXTRA_LOAD_MIN: f64 = 0.045;
/// The smallest load budget that is used as a divisor.
const DIVISOR_MIN: f64 = 0.02;
/// The pressure up to which a filler counts as harmless to a serving image.
const HARMLESS_PRESSURE_MAX: f64 = 0.4;
/// The deviation up to which a pressure counts as known.
const KNOWN_DEVIATION_MAX: f64 = 0.2;
/// The pause after which a filler continues elsewhere rather than here: a stop and a start from a
/// checkpoint take less time.
const PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// The time over the target after which fillers stop, except those that are known to be harmless.
const SUSPECTS_STOP_AFTER: Duration = Duration::from_millis(1_400);
/// The time over the target after which all fillers stop. The platform's rule tolerates 4 s or
/// more.
const ALL_STOP_AFTER: Duration = Duration::from_millis(2_400);

/// Paces fillers by the utilization that the serving tasks beside them can tolerate.
///
/// The utilization of a serving task is the load from its own users plus the sum of what the fillers
/// beside it add. What a filler adds depends on the pair of images and not on the load: a filler that
/// must stop at a peak can continue in a trough. The load is that of the whole step, since the tasks of
/// a step share its users.
#[derive(Clone, Debug, Default)]
pub struct FillerPacer {
    pressures: PressureEstimates,
    images: BTreeMap<ImageName, LearnedImage>,
    forecasts: BTreeMap<ServingStep, LoadForecast>,
}

/// The step of a serving task, whose tasks share their users.
type ServingStep = (JobId, StepRef);

/// The learned load of a serving image, and when it was last updated.
#[derive(Clone, Copy, Debug)]
struct LearnedImage {
    load: ImageLoad,
    updated_ms: u64,
}

/// The extra utilization that the tasks of one serving image still tolerate.
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
    /// The extra utilization at full pace, for each budget.
    extra_loads: Vec<f64>,
}

/// The mean and the variance of the utilization that fillers add to a serving task.
#[derive(Clone, Copy, Debug, Default)]
struct ExtraLoad {
    mean: f64,
    variance: f64,
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

    /// Returns the extra utilization by fillers with their shares of the processors.
    fn extra_load(
        &self,
        serving: &ImageName,
        shares: &[(ImageName, f64)],
        now_ms: u64,
    ) -> ExtraLoad {
        let extra_loads = shares.iter().map(|(filler, share)| {
            let pressure = self.pressures.get(serving, filler, now_ms);
            (pressure.mean * share, pressure.variance * share * share)
        });
        extra_loads.fold(ExtraLoad::default(), |sum, (mean, variance)| ExtraLoad {
            mean: sum.mean + mean,
            variance: sum.variance + variance,
        })
    }

    fn full_pace_extra_load(&self, serving: &ImageName, filler: &FillerSample, now_ms: u64) -> f64 {
        let image = filler.image.as_ref();
        let pressure = image.map(|image| self.pressures.get(serving, image, now_ms));
        pressure.map_or(0.0, |pressure| pressure.mean) * filler.cpu_share
    }

    /// Returns the extra utilization by a filler at full pace, with a margin for the error of its
    /// pressure.
    fn extra_load_at_most(&self, serving: &ImageName, filler: &FillerSample, now_ms: u64) -> f64 {
        let Some(image) = &filler.image else {
            return filler.cpu_share;
        };
        let pressure = self.pressures.get(serving, image, now_ms);
        (pressure.mean + pressure.deviation()) * filler.cpu_share
    }

    /// Returns whether a filler alone adds more than some serving image tolerates at its mean load, so
    /// that it would be paused most of the time.
    fn is_misplaced(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> bool {
        sample.tails.iter().any(|tail| {
            let image = self.image_load(&tail.image);
            let extra_load = self.full_pace_extra_load(&tail.image, filler, now_ms);
            image.usual + extra_load > image.utilization_at(TAIL_RATIO_MAX)
        })
    }

    /// Returns whether a filler is not known to be harmless to each serving image of the sample.
    fn is_suspect(&self, filler: &FillerSample, sample: &TailSample, now_ms: u64) -> bool {
        let Some(image) = &filler.image else {
            return true;
        };
        sample.tails.iter().any(|tail| {
            let pressure = self.pressures.get(&tail.image, image, now_ms);
            pressure.deviation() > KNOWN_DEVIATION_MAX || pressure.mean > HARMLESS_PRESSURE_MAX
        })
    }

    /// Returns the expected load of a task at the time when an order takes effect, with a margin for
    /// its error; the peak load of its image without a current forecast.
    fn expected_load(&self, task: TaskId, image: &ImageLoad, now_ms: u64) -> f64 {
        match self.forecasts.get(&serving_step(task)) {
            Some(load) if load.age_ms(now_ms) <= LOAD_AGE_MAX_MS => {
                let effective_ms = now_ms + HORIZON_MS;
                let deviation = load.variance_at(effective_ms).max(0.0).sqrt();
                load.at(effective_ms) + LOAD_MARGIN_DEVIATIONS * deviation
            }
            _ => image.peak(),
        }
    }

    /// Returns the extra load that each serving image of a sample tolerates up to a tail ratio;
    /// the most loaded task of an image decides.
    fn budgets<'s>(&self, sample: &'s TailSample, ratio: f64, now_ms: u64) -> Vec<LoadBudget<'s>> {
        let mut budgets: Vec<LoadBudget<'s>> = Vec::new();
        for tail in &sample.tails {
            let image = self.image_load(&tail.image);
            let load = self.expected_load(tail.task, &image, now_ms);
            let left = (image.utilization_at(ratio) - load).max(0.0);
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
            let filler = &sample.fillers[index];
            let is_light = budgets.iter().all(|budget| {
                self.extra_load_at_most(budget.image, filler, now_ms) < PACED_EXTRA_LOAD_MIN
            });
            let percent = match is_light {
                true => 100,
                false => (fraction * 10.0) as u32 * 10,
            };
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

fn serving_step(task: TaskId) -> ServingStep {
    (task.job, task.into())
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
            let is_undisturbed = sample.filler_shares.is_empty();
            let mut image = self.image_load(name);
            let mut observed = Vec::new();
            let mut load_variance = 0.0;
            for (task, ratio) in &tails {
                if is_undisturbed {
                    image.update_idle_ratio(*ratio);
                }
                let utilization = image.utilization_at(*ratio);
                let forecast = self
                    .forecasts
                    .entry(serving_step(*task))
                    .or_insert_with(|| LoadForecast::new(image.usual, now_ms));
                let expected = forecast.at(now_ms);
                observed.push(utilization - expected);
                load_variance += forecast.variance_at(now_ms);
                if utilization < SATURATED_UTILIZATION {
                    let load = utilization - extra_load.mean;
                    let variance = match sample.is_settled {
                        true => extra_load.variance,
                        false => extra_load.variance + UNSETTLED_VARIANCE,
                    };
                    forecast.update(load, variance, now_ms);
                }
                if is_undisturbed {
                    image.update_load(forecast.at(now_ms));
                }
            }
            self.set_image_load(name, image, now_ms);
            load_variance /= tails.len() as f64;
            if !is_undisturbed && sample.is_settled {
                self.pressures.learn(
                    name,
                    &sample.filler_shares,
                    median(observed),
                    load_variance,
                    now_ms,
                );
            }
        }
    }

    /// Exports the images that were updated last and the pairs with the least error, as many as fit
    /// into a record.
    fn learned(&self, now_ms: u64) -> LearnedInterference {
        let mut left_bytes = LEARNED_BYTES_MAX;
        let mut fits = |names_bytes: usize| {
            let size = names_bytes + LEARNED_ENTRY_BYTES;
            let fits = size <= left_bytes;
            if fits {
                left_bytes -= size;
            }
            fits
        };
        let mut images: Vec<(&ImageName, &LearnedImage)> = self.images.iter().collect();
        images.sort_by_key(|(_, image)| std::cmp::Reverse(image.updated_ms));
        let images = images
            .into_iter()
            .filter(|(name, _)| fits(name.as_str().len()))
            .map(|(name, image)| (name.clone(), image.load))
            .collect();
        let mut pressures: Vec<_> = self.pressures.entries(now_ms).collect();
        pressures.sort_by(|(_, a), (_, b)| a.variance.total_cmp(&b.variance));
        let pressures = pressures
            .into_iter()
            .filter(|((serving, filler), _)| fits(serving.as_str().len() + filler.as_str().len()))
            .map(|((serving, filler), pressure)| LearnedPressure {
                serving: serving.clone(),
                filler: filler.clone(),
                mean: pressure.mean,
                variance: pressure.variance,
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
            let estimate = Pressure {
                mean: pressure.mean,
                variance: pressure.variance,
            };
            self.pressures.restore(pair, estimate, now_ms);
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
            if percent == 0
                && filler.can_move
                && pace_max == 0
                && (filler.paused_for >= PAUSE_MAX || self.is_misplaced(filler, sample, now_ms))
            {
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
                at_peak_load: image.utilization_at(PEAK_RATIO_MAX) - image.peak() - full,
            }
        });
        headrooms.collect()
    }

    fn pressures(&self, filler: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)> {
        let pressures = self.images.keys().map(|serving| {
            let pressure = self.pressures.get(serving, filler, now_ms);
            let with_margin = pressure.mean + PLACEMENT_MARGIN_DEVIATIONS * pressure.deviation();
            (serving.clone(), with_margin)
        });
        pressures.filter(|(_, pressure)| *pressure > 0.0).collect()
    }

    fn dissimilarities(&self, serving: &ImageName, now_ms: u64) -> Vec<(ImageName, f64)> {
        let fillers: BTreeSet<&ImageName> = self
            .pressures
            .entries(now_ms)
            .map(|((_, filler), _)| filler)
            .collect();
        let others = self.images.keys().filter(|other| *other != serving);
        let compared = others.map(|other| {
            let sums = fillers
                .iter()
                .fold((0.0, 0.0), |(difference, larger), filler| {
                    let own = self.pressures.get(serving, filler, now_ms);
                    let of_other = self.pressures.get(other, filler, now_ms);
                    let doubt = (own.deviation() + of_other.deviation()) / 2.0;
                    (
                        difference + (own.mean - of_other.mean).abs() + doubt,
                        larger + own.mean.max(of_other.mean),
                    )
                });
            let dissimilarity = match fillers.is_empty() {
                true => 1.0,
                false => (sums.0 / sums.1.max(DIVISOR_MIN)).min(1.0),
            };
            (other.clone(), dissimilarity)
        });
        compared.collect()
    }
}
