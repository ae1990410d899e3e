use dotterelhook_jobs::policy::ShortWorkDemand;
use dotterelhook_types::sizes::CpuMilli;

/// The interval between two records.
const ROUND_MS: u64 = 50;
/// The steady demand of the tests.
const STEADY_MILLI: u64 = 8_000;

/// Returns the demand of a pool after a minute with the given demand in each round.
fn demand_after_a_minute(wanted_milli: impl Fn(u64) -> u64) -> ShortWorkDemand {
    let mut demand = ShortWorkDemand::new(0);
    for round in 1..=60_000 / ROUND_MS {
        demand.record(CpuMilli(wanted_milli(round)), round * ROUND_MS);
    }
    demand
}

/// Guards against processors that stay idle in a pool without tasks that end.
#[test]
fn short_work_reserves_nothing_without_demand() {
    let demand = demand_after_a_minute(|_| 0);

    assert_eq!(demand.reserve(CpuMilli(0)), CpuMilli(0));
}

/// Guards against a reserve in addition to the processors that tasks with an end hold already.
#[test]
fn short_work_reserves_what_is_usually_wanted_and_not_in_use() {
    let demand = demand_after_a_minute(|_| STEADY_MILLI);

    let reserves = [0, 5_000, 8_000, 12_000].map(|running| demand.reserve(CpuMilli(running)).0);

    let tolerance_milli = STEADY_MILLI / 20;
    assert!(
        reserves[0].abs_diff(STEADY_MILLI) < tolerance_milli,
        "{reserves:?}"
    );
    assert!(
        reserves[1].abs_diff(3_000) < tolerance_milli,
        "{reserves:?}"
    );
    assert!(reserves[2] < tolerance_milli, "{reserves:?}");
    assert_eq!(reserves[3], 0);
}

/// Guards against bursts of quick jobs that find only the processors of the mean demand.
#[test]
fn short_work_that_comes_in_bursts_gets_a_larger_reserve() {
    let steady = demand_after_a_minute(|_| STEADY_MILLI);
    let bursts = demand_after_a_minute(|round| if round / 20 % 2 == 0 { 16_000 } else { 0 });

    assert!(bursts.reserve(CpuMilli(0)).0 > steady.reserve(CpuMilli(0)).0 + 4_000);
}
