use super::Fit;
use super::PlacementPolicy;
use super::PlacementRequest;
use crate::fleet::Executor;

/// The share of its reservation that a serving task uses on average.
const SERVING_USE: f64 = 0.45;
/// The least share of a filler's processor need that must be left for it.
const FILLER_SHARE_MIN: f64 = 0.6;
/// The extra load that a filler may cause anywhere and still counts as harmless, as a multiple of
/// the serving tasks' own.
const EXCESS_MAX: f64 = 0.15;
/// What a filler loses on an executor where it must stop when the load rises.
const SWINGING_PENALTY: f64 = 1.0;
/// What a filler loses on an executor where it disturbs what serves.
const HARMFUL_PENALTY: f64 = 2.0;
/// What it loses beyond that for each unit of excess.
const EXTRA_PENALTY: f64 = 4.0;
/// What a task that disturbs nobody loses on an executor that is free of serving tasks.
const SERVING_FREE_PENALTY: f64 = 0.5;
/// What a serving task loses beside others of other images, more than packing gains: each image
/// keeps other fillers away.
const OTHER_IMAGES_PENALTY: f64 = 1.5;
/// What a score gains on the rack that holds the step's data.
const RACK_BONUS: f64 = 10.0;

/// Gives each kind of task the executor that disturbs it least.
///
/// Fillers go where most processor time is left over, those that disturb to executors without
/// serving tasks; serving tasks are packed, so that there are such executors; the rest goes where
/// least is free, which leaves room for large tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterferenceAwarePlacement;

impl PlacementPolicy for InterferenceAwarePlacement {
    fn score(&self, request: &PlacementRequest<'_>, executor: &Executor) -> Option<f64> {
        let step = request.step;
        let free = executor.free();
        if !step.reserved().fits_in(&free) {
            return None;
        }
        let has_label = |label| executor.entry.labels.contains(label);
        if step
            .required_label
            .as_ref()
            .is_some_and(|label| !has_label(label))
        {
            return None;
        }
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        let bonus = match &step.preferred_rack {
            Some(rack) if has_label(rack) => RACK_BONUS,
            _ => 0.0,
        };
        let score = if step.is_filler {
            let left_milli = leftover_milli(executor);
            if left_milli < FILLER_SHARE_MIN * step.need.cpu_milli.0 as f64 {
                return None;
            }
            let is_serving_free = executor.serving_cpu_milli() == 0;
            let penalty = match request.fit_on(executor) {
                Fit::Harmful if !request.may_interfere => return None,
                Fit::Harmful => HARMFUL_PENALTY + EXTRA_PENALTY * request.extra_load_on(executor),
                Fit::AtCurrentLoad => SWINGING_PENALTY,
                Fit::AtPeakLoad
                    if is_serving_free && request.excess_anywhere(executor) <= EXCESS_MAX =>
                {
                    SERVING_FREE_PENALTY
                }
                Fit::AtPeakLoad => 0.0,
            };
            left_milli / capacity_milli - penalty
        } else if step.is_long_running {
            let others = match &step.image {
                Some(image) if executor.serves_others_than(image) => OTHER_IMAGES_PENALTY,
                _ => 0.0,
            };
            executor.used().cpu_milli.0 as f64 / capacity_milli - others
        } else {
            -(free.cpu_milli.0 as f64) / capacity_milli
        };
        Some(score + bonus)
    }
}

/// Returns the processor time that fillers can still get, in thousandths of a core.
fn leftover_milli(executor: &Executor) -> f64 {
    let serving_milli = executor.serving_cpu_milli();
    let other_milli = executor.used().cpu_milli.0.saturating_sub(serving_milli);
    executor.entry.capacity.cpu_milli.0 as f64
        - SERVING_USE * serving_milli as f64
        - other_milli as f64
        - executor.filler_cpu_milli() as f64
}
