//! Quotas of shards.
//!
//! Guards against a team that exceeds its quota, or cannot use all of it, because the parts of the
//! shards do not add up to the quota.

use std::sync::Arc;

use dotterelhook_scheduler::quota::QuotaView;
use dotterelhook_scheduler::quota::ShardQuotas;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::sizes::Resources;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(cpu_milli: u64, memory_mb: u64) -> Arc<ConfigState> {
    let mut config = ConfigState::default();
    let publication = serde_json::json!({
        "path": "booking/quota",
        "team": "booking",
        "writer": "cli-1",
        "sequence": 1,
        "base_offset": null,
        "body": {"batch": {"cpu_milli": cpu_milli, "memory_mb": memory_mb}},
    });
    config.apply(Offset(0), &publication.to_string()).unwrap();
    Arc::new(config)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(63), ..ProptestConfig::default() })]

    #[test]
    fn parts_add_up_exactly(cpu in 0_u64..10_000, memory in 0_u64..10_000, shards in 1_u32..40) {
        let config = config(cpu, memory);
        let team = "booking".parse().unwrap();

        let mut sum = Resources::default();
        for index in 0..shards {
            let part = ShardQuotas::new(Arc::clone(&config), index, shards).limit(&team);
            sum = sum.saturating_add(&part.unwrap());
        }

        prop_assert_eq!(sum, Resources::new(cpu, memory));
    }
}

#[test]
fn a_team_without_a_quota_is_not_limited() {
    let quotas = ShardQuotas::new(Arc::new(ConfigState::default()), 0, 4);

    let limit = quotas.limit(&"booking".parse().unwrap());

    assert_eq!(limit, None);
}
