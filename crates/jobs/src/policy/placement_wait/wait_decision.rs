use super::EstimateRatio;
use super::TimeSpread;

/// The shares of runs that are shorter than the run times for which a decision is evaluated.
const RUN_TIME_SHARES: [f64; 4] = [0.125, 0.375, 0.625, 0.875];
/// The value of a job that is just late, relative to one that meets its objective. It falls to 0 at
/// three times the objective, where a job has no value for its client.
const LATE_VALUE: f64 = 0.5;
/// The multiple of the objective after which a job has no value.
const EXPIRY_FACTOR: f64 = 3.0;
/// The value of an end that is earlier by the length of the objective. Small against
/// `LATE_VALUE`: it only ranks ends on the same side of the objective.
const EARLINESS_VALUE: f64 = 0.1;
/// The time from a placement until the run begins: one append to the store, which takes 10 to 30 ms,
/// and one order to the executor.
const START_DELAY_MS: f64 = 50.0;
/// The longest time between two rounds of decisions, by which a wait may end late.
const ROUND_MAX_MS: f64 = 100.0;

/// What the decision whether to wait for a preferred placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitInputs {
    /// How many times as long the work runs elsewhere.
    pub far_factor: f64,
    /// The client's estimate of the run time at the preferred placement, in milliseconds.
    pub estimate_ms: f64,
    /// The error that the queue's estimates have shown.
    pub ratio: EstimateRatio,
    /// The queue's factor on the run time in the objective.
    pub stretch: f64,
    /// The objective for the whole job, in milliseconds.
    pub objective_ms: f64,
    /// The time until the work must begin at the preferred placement to meet the objective, in
    /// milliseconds.
    pub slack_ms: f64,
    /// For how long the work has waited for the preferred placement, in milliseconds.
    pub waited_ms: f64,
    /// The time until capacity is expected there; `None` if none is expected.
    pub wait: Option<TimeSpread>,
    /// The share of the needed capacity that is free there and held idle during the wait, 0 to 1.
    pub idle_share: f64,
    /// What it costs others that the capacity of the work is taken or idle for a time, relative to
    /// an end of the work that is later by this time. About 1 if all capacity is in use, more if
    /// other work waits.
    pub capacity_price: f64,
}

/// The reason why work does not wait for its preferred placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NoWaitReason {
    /// No capacity is expected there: it has no live executor that could hold the work, or nothing
    /// ends on them.
    NoCapacityExpected,
    /// The job would become late, or lose all its value.
    SlackUsedUp,
    /// The work has waited for as long as the preferred placement would save.
    GainUsedUp,
    /// The expected gain of waiting does not exceed its cost.
    GainTooSmall,
}

/// Whether work waits for its preferred placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitDecision {
    /// The work waits.
    Wait {
        /// The longest wait from now, in milliseconds, if nothing changes until then.
        limit_ms: f64,
        /// The expected gain in the time of the job's end, in milliseconds.
        gain_ms: f64,
    },
    /// The work runs elsewhere now.
    RunElsewhere(NoWaitReason),
}

impl WaitInputs {
    /// Decides by the expected value of the job's end, over the spread of the wait and of the run
    /// time.
    pub fn decide(&self) -> WaitDecision {
        let Some(wait) = self.wait else {
            return WaitDecision::RunElsewhere(NoWaitReason::NoCapacityExpected);
        };
        let slack_ms = self.slack_ms.min(self.slack_at(self.ratio.median)) - START_DELAY_MS;
        let expiry_slack_ms = slack_ms + (EXPIRY_FACTOR - 1.0) * self.objective_ms;
        if expiry_slack_ms <= 0.0 {
            return WaitDecision::RunElsewhere(NoWaitReason::SlackUsedUp);
        }
        let saving_ms = (self.far_factor - 1.0) * self.estimate_ms * self.ratio.median;
        let latest_far_start_ms = slack_ms - saving_ms;
        // A wait that has cost as much as the placement saves, to the work and to others, ends,
        // whatever is expected: the loss against the best decision stays below the gain, even if
        // all forecasts are wrong.
        let limit_max_ms = if latest_far_start_ms > 0.0 {
            slack_ms.min(saving_ms * (1.0 + self.capacity_price) - self.waited_ms)
        } else {
            // Elsewhere, the job is late in any case: what counts is the time after its slack.
            expiry_slack_ms.min(slack_ms + saving_ms)
        };
        if limit_max_ms <= 0.0 {
            return WaitDecision::RunElsewhere(NoWaitReason::GainUsedUp);
        }
        let arrivals = wait.points_ms();
        let limits = arrivals.iter().map(|arrival_ms| arrival_ms + 1.0);
        let limits = limits.chain([latest_far_start_ms - ROUND_MAX_MS, slack_ms, limit_max_ms]);
        let best = limits
            .filter(|limit_ms| *limit_ms > 0.0 && *limit_ms <= limit_max_ms)
            .map(|limit_ms| (self.value_of_waiting(limit_ms, arrivals), limit_ms))
            .max_by(|(value, limit_ms), (other, other_limit_ms)| {
                let by_value = value.total_cmp(other);
                by_value.then_with(|| other_limit_ms.total_cmp(limit_ms))
            });
        match best {
            Some((value, limit_ms)) if value > self.value_of_running_elsewhere() => {
                WaitDecision::Wait {
                    limit_ms,
                    gain_ms: self.gain_of_waiting_ms(limit_ms, arrivals),
                }
            }
            _ => WaitDecision::RunElsewhere(NoWaitReason::GainTooSmall),
        }
    }

    /// Decides to wait until the slack to the objective is used up, whatever the gain.
    pub fn wait_while_slack(&self) -> WaitDecision {
        let limit_ms = self.slack_ms - START_DELAY_MS;
        match self.wait {
            None => WaitDecision::RunElsewhere(NoWaitReason::NoCapacityExpected),
            Some(_) if limit_ms <= 0.0 => WaitDecision::RunElsewhere(NoWaitReason::SlackUsedUp),
            Some(wait) => WaitDecision::Wait {
                limit_ms,
                gain_ms: self.gain_of_waiting_ms(limit_ms, wait.points_ms()),
            },
        }
    }

    /// Returns how much more value the work has at the preferred placement than elsewhere, if both
    /// are free.
    pub fn value_of_placement(&self) -> f64 {
        self.value_of_waiting(0.0, &[0.0]) - self.value_of_running_elsewhere()
    }

    /// Returns the slack if the run takes `ratio` times its estimate.
    ///
    /// The objective grows with the true run times: `stretch` times as much as the work itself.
    fn slack_at(&self, ratio: f64) -> f64 {
        self.slack_ms + (self.stretch - 1.0) * (ratio - 1.0) * self.estimate_ms
    }

    fn value_of_running_elsewhere(&self) -> f64 {
        self.expected_over_runs(|ratio| self.value_elsewhere(0.0, ratio))
    }

    /// Returns the expected value if the work runs elsewhere after `limit_ms`, unless capacity at
    /// the preferred placement is free before.
    fn value_of_waiting(&self, limit_ms: f64, arrivals_ms: &[f64]) -> f64 {
        let values = arrivals_ms.iter().map(|arrival_ms| {
            self.expected_over_runs(|ratio| match *arrival_ms <= limit_ms {
                true => {
                    let lateness_ms = arrival_ms + START_DELAY_MS - self.slack_at(ratio);
                    self.value_of_end(lateness_ms) - self.price(arrival_ms * self.idle_share)
                }
                false => {
                    let idle_ms = limit_ms * self.idle_share;
                    self.value_elsewhere(limit_ms + ROUND_MAX_MS, ratio) - self.price(idle_ms)
                }
            })
        });
        values.sum::<f64>() / arrivals_ms.len() as f64
    }

    /// Returns the value of a start elsewhere at the given time.
    fn value_elsewhere(&self, start_ms: f64, ratio: f64) -> f64 {
        let extra_ms = (self.far_factor - 1.0) * ratio * self.estimate_ms;
        let lateness_ms = start_ms + START_DELAY_MS + extra_ms - self.slack_at(ratio);
        self.value_of_end(lateness_ms) - self.price(extra_ms)
    }

    /// Returns the value of an end that is late by the given time, or early if it is negative.
    fn value_of_end(&self, lateness_ms: f64) -> f64 {
        let objectives = lateness_ms / self.objective_ms.max(1.0);
        let earliness = -EARLINESS_VALUE * objectives;
        if lateness_ms <= 0.0 {
            1.0 + earliness
        } else {
            let late_share = (objectives / (EXPIRY_FACTOR - 1.0)).min(1.0);
            LATE_VALUE * (1.0 - late_share) + earliness
        }
    }

    /// Returns what it costs others that the capacity of the work is not available for a time.
    fn price(&self, unavailable_ms: f64) -> f64 {
        EARLINESS_VALUE * self.capacity_price * unavailable_ms / self.objective_ms.max(1.0)
    }

    fn expected_over_runs(&self, value: impl Fn(f64) -> f64) -> f64 {
        let ratios = RUN_TIME_SHARES.map(|share| self.ratio.quantile_above(0.0, share));
        let values = ratios.map(value);
        values.iter().sum::<f64>() / values.len() as f64
    }

    fn gain_of_waiting_ms(&self, limit_ms: f64, arrivals_ms: &[f64]) -> f64 {
        let saving_ms = (self.far_factor - 1.0) * self.estimate_ms * self.ratio.median;
        let gains = arrivals_ms
            .iter()
            .map(|arrival_ms| match *arrival_ms <= limit_ms {
                true => saving_ms - arrival_ms,
                false => -limit_ms,
            });
        gains.sum::<f64>() / arrivals_ms.len() as f64
    }
}
