use super::Fit;
use super::PlacementPolicy;
use super::PlacementRequest;
use crate::fleet::Executor;

/// The average share of its processor reservation that a serving task uses.
const SERVING_CPU_USE: f64 = 0.45;
/// The smallest share of a filler's processor need that must be available to it.
pub(crate) const FILLER_CPU_SHARE_MIN: f64 = 0.6;
/// A filler counts as harmless if it adds no more than this to the utilization of any serving image.
const HARMLESS_LOAD_MAX: f64 = 0.06;
/// Penalty of a filler on an executor where it must stop when the serving load rises.
const CURRENT_LOAD_PENALTY: f64 = 1.0;
/// Penalty of a filler on an executor where its extra load exceeds the headroom.
const HARMFUL_PENALTY: f64 = 2.0;
/// Further penalty for each unit of utilization that a filler adds to a serving image.
const EXTRA_PENALTY: f64 = 6.0;
/// Penalty of a harmless filler on an executor without serving tasks: harmful fillers need the
/// room there.
const SERVING_FREE_PENALTY: f64 = 0.5;
/// Penalty of a serving task beside another serving image that tolerates none of the same fillers. The
/// penalty exceeds the gain of packing, because such an image keeps other fillers away.
const OTHER_IMAGES_PENALTY: f64 = 1.5;
/// Bonus of the rack that holds the step's data.
const RACK_BONUS: f64 = 10.0;

/// Scores executors by the kind of the task.
///
/// - Fillers prefer the most reclaimable processor time. Fillers that would slow serving tasks
///   down prefer executors without such tasks.
/// - Serving tasks are packed, which keeps other executors free for fillers.
/// - All other tasks take the best fit, which leaves room for large tasks.
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
            let reclaimable_milli = reclaimable_milli(executor);
            if reclaimable_milli < FILLER_CPU_SHARE_MIN * step.need.cpu_milli.0 as f64 {
                return None;
            }
            let is_serving_free = executor.serving_cpu_milli() == 0;
            let penalty = match request.fit_on(executor) {
                Fit::Harmful if !request.may_interfere => return None,
                Fit::Harmful => HARMFUL_PENALTY,
                Fit::AtCurrentLoad if !request.may_be_interrupted => return None,
                Fit::AtCurrentLoad => CURRENT_LOAD_PENALTY,
                Fit::AtPeakLoad
                    if is_serving_free
                        && request.worst_extra_load(executor) <= HARMLESS_LOAD_MAX =>
                {
                    SERVING_FREE_PENALTY
                }
                Fit::AtPeakLoad => 0.0,
            };
            let extra_load = request.extra_load_on(executor);
            reclaimable_milli / capacity_milli - penalty - EXTRA_PENALTY * extra_load
        } else if step.is_long_running {
            let others = OTHER_IMAGES_PENALTY * request.dissimilarity_on(executor);
            executor.used().cpu_milli.0 as f64 / capacity_milli - others
        } else {
            -(free.cpu_milli.0 as f64) / capacity_milli
        };
        Some(score + bonus)
    }
}

/// Returns the processor time that further fillers can use, in thousandths of a core.
///
/// Reservations of serving tasks count by their average use.
pub(crate) fn reclaimable_milli(executor: &Executor) -> f64 {
    let serving_milli = executor.serving_cpu_milli();
    let other_milli = executor.used().cpu_milli.0.saturating_sub(serving_milli);
    executor.entry.capacity.cpu_milli.0 as f64
        - SERVING_CPU_USE * serving_milli as f64
        - other_milli as f64
        - executor.filler_cpu_milli() as f64
}
