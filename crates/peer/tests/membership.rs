//! Membership over a simulated network with datagram loss, one-way cuts and frozen processes.

mod support;

use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::TargetId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::Cut;
use support::Network;

const SETTLE_SECONDS: usize = 20;

fn settled(domain_sizes: &[usize], seed: u64) -> Network {
    let mut network = Network::new(domain_sizes, seed);
    network.run(SETTLE_SECONDS);
    network
}

fn cases(count: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: count,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn everybody_learns_of_everybody_from_one_seed() {
    let network = settled(&[6, 5, 7], 1);

    let missing = network.pairs_not_alive();

    assert_eq!(missing, []);
}

#[test]
fn a_silent_member_is_suspected_before_it_is_given_up() {
    let mut network = settled(&[4], 2);
    network.freeze(3);
    let mut seen = Vec::new();

    network.run_checked(12, |network| seen.extend(network.state(3, 0)));

    seen.dedup();
    assert_eq!(
        seen,
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead]
    );
}

/// Guards against a resumed process that takes its own pause for the silence of all others.
#[test]
fn a_process_that_was_frozen_does_not_give_up_the_others() {
    let mut network = settled(&[4], 3);
    network.freeze(0);
    network.run(60);
    let before = network.state(1, 0);
    network.cuts.push(Cut {
        from: vec![1, 2, 3],
        to: vec![0],
    });
    network.thaw(0);

    network.run(1);

    assert_ne!(before, Some(MemberState::Dead));
    assert_ne!(network.state(1, 0), Some(MemberState::Dead));
    network.cuts.clear();
    network.run(6);
    assert_eq!(network.pairs_not_alive(), []);
}

/// Guards against a false death when one member's datagrams to one other member are lost.
#[test]
fn a_one_way_cut_is_bridged_by_the_others() {
    let mut network = settled(&[5], 4);
    network.cuts.push(Cut {
        from: vec![1],
        to: vec![2],
    });

    network.run_checked(60, |network| assert_eq!(network.lost_pairs(), []));
}

/// Guards against a member that counts as alive because its own view is intact.
#[test]
fn a_member_that_nobody_hears_is_given_up_though_it_hears_all() {
    let mut network = settled(&[5], 5);
    network.cuts.push(Cut {
        from: vec![1],
        to: vec![0, 2, 3, 4],
    });

    network.run(15);

    assert_eq!(network.state(1, 0), Some(MemberState::Dead));
    assert_eq!(network.state(0, 1), Some(MemberState::Alive));
}

#[test]
fn a_cut_off_domain_is_unreachable_and_comes_back() {
    let mut network = settled(&[4, 4], 6);
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..4).collect(), (4..8).collect());
    network.cuts.push(Cut {
        from: left.clone(),
        to: right.clone(),
    });
    network.cuts.push(Cut {
        from: right,
        to: left,
    });

    network.run(25);

    assert_eq!(network.state(5, 0), Some(MemberState::Unreachable));
    assert_eq!(network.state(1, 0), Some(MemberState::Alive));
    network.cuts.clear();
    network.run(15);
    assert_eq!(network.pairs_not_alive(), []);
}

/// Guards against a loss of digests between domains while frozen relays still count as alive.
#[test]
fn others_take_over_when_all_relays_freeze_at_once() {
    let mut network = settled(&[5, 5], 13);
    network.freeze(0);
    network.freeze(1);

    network.run(60);

    let mut lost = network.lost_pairs();
    lost.retain(|(by, of)| *by > 1 && *of > 1);
    assert_eq!(lost, []);
}

/// Guards against delayed datagrams of the old process that replace the new one.
#[test]
fn a_restart_is_told_from_its_predecessor() {
    let mut network = settled(&[3, 3], 7);
    let old = network.member(1, 0).expect("known").heartbeat.incarnation;
    let late = network.frames_of(1);
    network.restart(1, Incarnation(old.0 + 5_000_000));
    network.run(2);

    late.iter()
        .for_each(|frame| network.deliver_frame(0, &frame.frame));

    let known = network.member(1, 0).expect("known").heartbeat.incarnation;
    assert_eq!(known, Incarnation(old.0 + 5_000_000));
}

/// Guards against a new process that is ignored because its incarnation is lower.
#[test]
fn a_restart_after_the_clock_went_back_is_accepted_everywhere() {
    let mut network = settled(&[3, 3], 8);
    let old = network.member(1, 0).expect("known").heartbeat.incarnation;
    network.restart(1, Incarnation(old.0 - 60_000_000));

    network.run(40);

    for by in [0, 1, 2, 3, 4, 5] {
        let known = network.member(1, by).expect("known");
        assert_eq!(
            known.heartbeat.incarnation,
            Incarnation(old.0 - 60_000_000),
            "{by}"
        );
        assert_eq!(known.state, MemberState::Alive, "{by}");
    }
}

#[test]
fn members_that_stop_get_no_new_work() {
    let mut network = settled(&[3], 9);
    network.nodes[1].draining.cancel();

    network.run(1);

    let peers = network.nodes[0].membership.live_peers(Role::Front);
    assert_eq!(network.state(1, 0), Some(MemberState::Draining));
    assert_eq!(peers.len(), 2);
}

#[test]
fn draining_targets_reach_the_domain_and_age() {
    let mut network = settled(&[3, 2], 10);
    let target: TargetId = "executor-7".parse().expect("a name");
    network.nodes[1].membership.report_draining(&target);
    network.run(5);

    let near = network.nodes[0].membership.draining_targets();
    let far = network.nodes[4].membership.draining_targets();

    assert_eq!(near.len(), 1);
    assert_eq!(near[0].target, target);
    assert!((4_000..=6_000).contains(&near[0].age_ms), "{near:?}");
    assert_eq!(far, []);
    network.run(60);
    assert_eq!(network.nodes[0].membership.draining_targets(), []);
}

/// Guards against heartbeats that exceed one packet when many targets drain at once.
#[test]
fn many_draining_targets_all_arrive_in_frames_of_one_packet() {
    const TARGETS: usize = 100;
    const PACKET_MAX_BYTES: usize = 1_400;
    let mut network = settled(&[4], 14);
    network.loss = 0.2;
    for index in 0..TARGETS {
        let target: TargetId = format!("laguna-booking-executor-{index}")
            .parse()
            .expect("a name");
        network.nodes[1].membership.report_draining(&target);
    }
    let longest = network.frames_of(1).iter().map(|out| out.frame.len()).max();

    // Each target is announced 5 times, and a heartbeat announces 24 targets.
    network.run(TARGETS * 5 / 24 + 10);

    let known = network.nodes[2].membership.draining_targets().len();
    assert!(
        longest.is_some_and(|bytes| bytes < PACKET_MAX_BYTES),
        "{longest:?}"
    );
    assert!(known > TARGETS * 99 / 100, "{known}");
}

/// Returns the bytes that the busiest node sends per second, packet headers included.
fn busiest_bytes_per_second(domain_sizes: &[usize]) -> u64 {
    const SECONDS: usize = 60;
    let mut network = settled(domain_sizes, 11);
    network.sent_bytes.fill(0);
    network.run(SECONDS);
    network.sent_bytes.iter().copied().max().unwrap_or(0) / SECONDS as u64
}

#[test]
fn a_large_installation_costs_less_than_half_of_its_budget_each_way() {
    const BUDGET_BYTES: u64 = 11_000;

    let three_domains = busiest_bytes_per_second(&[30, 29, 29]);
    let eleven_domains = busiest_bytes_per_second(&[8; 11]);

    assert!(three_domains * 2 < BUDGET_BYTES, "{three_domains}");
    assert!(eleven_domains * 2 < BUDGET_BYTES, "{eleven_domains}");
}

proptest! {
    #![proptest_config(cases(24, 12))]

    /// Guards against members that are declared dead under steady datagram loss.
    #[test]
    fn loss_does_not_flap(seed: u64) {
        let mut network = settled(&[6, 6], seed);
        network.loss = 0.2;
        network.run(5);

        let mut lost_pairs = Vec::new();
        network.run_checked(120, |network| lost_pairs.extend(network.lost_pairs()));

        prop_assert_eq!(lost_pairs, []);
    }

    #[test]
    fn a_relay_that_dies_or_freezes_does_not_cut_the_digest(
        seed: u64,
        relay in 0_usize..2,
        is_loss in any::<bool>(),
    ) {
        let mut network = settled(&[5, 5], seed);
        network.loss = if is_loss { 0.1 } else { 0.0 };
        network.freeze(relay);

        let mut wrong = Vec::new();
        network.run_checked(60, |network| {
            let others = network.lost_pairs().into_iter();
            wrong.extend(others.filter(|(by, of)| *by != relay && *of != relay));
        });

        prop_assert_eq!(wrong, []);
    }

    #[test]
    fn any_mix_of_faults_heals(
        seed: u64,
        faults in prop::collection::vec((0_usize..9, 0_u8..4, 1_usize..15), 1..8),
    ) {
        let mut network = settled(&[3, 3, 3], seed);
        for (node, kind, seconds) in faults {
            let others: Vec<usize> = (0..9).filter(|other| *other != node).collect();
            match kind {
                0 => network.freeze(node),
                1 => network.restart(node, Incarnation(seed % 1_000_000)),
                2 => network.cuts.push(Cut { from: vec![node], to: others }),
                _ => network.cuts.push(Cut { from: others, to: vec![node] }),
            }
            network.run(seconds);
        }
        network.cuts.clear();
        (0..9).for_each(|node| network.thaw(node));

        network.run(60);

        prop_assert_eq!(network.pairs_not_alive(), []);
    }
}
