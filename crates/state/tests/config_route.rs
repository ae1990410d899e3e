//! Routing through the prefix index must match a linear scan over all services.

mod fixture;

use dotterelhook_state::config::ConfigState;
use fixture::append;
use fixture::change;
use fixture::service;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Publishes services of one team; publications with conflicting prefixes are refused.
fn state_with(prefixes: &[String]) -> ConfigState {
    let mut state = ConfigState::default();
    for (number, prefix) in prefixes.iter().enumerate() {
        let path = format!("team/services/s{}", number % 4);
        let base = state.base_offset(&path.parse().expect("a valid path"));
        let base = base.map(|base| base.0);
        let body = (number % 5 != 4).then(|| service(prefix));
        let publication = change(&format!("w{number}"), &path, base, body);
        let _ = append(&mut state, &publication.payload());
    }
    state
}

fn route_by_scan<'a>(state: &'a ConfigState, path: &str) -> Option<&'a str> {
    let matching = state
        .services()
        .filter(|(_, service)| path.starts_with(&*service.path_prefix));
    let longest = matching.max_by_key(|(_, service)| service.path_prefix.len());
    longest.map(|(name, _)| name.as_str())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_index_routes_as_a_scan_does(
        prefixes in prop::collection::vec("(/[ab]{1,2}){0,3}/", 1..14),
        path in "(/[abc]{0,2}){0,5}",
    ) {
        let state = state_with(&prefixes);

        let routed = state.route(&path).map(|(name, _)| name.as_str());

        prop_assert_eq!(routed, route_by_scan(&state, &path));
    }
}
