//! Frames between daemons: an invalid frame is refused, counted and changes nothing.

mod support;

use dotterelhook_kernel::Metrics;
use dotterelhook_peer::membership::FrameError;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::PeerFrame;
use dotterelhook_peer::membership::decode;
use dotterelhook_peer::membership::encode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rapidhash::v3::rapidhash_v3;
use support::Network;

const PROTOCOL_VERSION: u8 = 2;

/// Builds a frame with the right version and checksum around a payload.
fn frame_of(payload: &[u8]) -> Vec<u8> {
    let checksum = (rapidhash_v3(payload) as u32).to_le_bytes();
    [&[PROTOCOL_VERSION], &checksum[..], payload].concat()
}

fn cases(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn frames() -> Vec<Vec<u8>> {
    let mut network = Network::new(&[3, 2], 21);
    network.run(10);
    let nodes = 0..network.nodes.len();
    let frames = nodes.flat_map(|node| network.frames_of(node));
    frames.map(|outgoing| outgoing.frame.to_vec()).collect()
}

#[test]
fn frames_survive_the_codec() {
    for frame in frames() {
        let decoded: PeerFrame = decode(&frame).expect("a frame");

        assert_eq!(encode(&decoded).expect("small"), frame);
    }
}

#[test]
fn every_truncation_is_refused() {
    for frame in frames() {
        for length in 0..frame.len() {
            let decoded = decode::<PeerFrame>(&frame[..length]);

            assert!(decoded.is_err(), "{length} of {} bytes", frame.len());
        }
    }
}

#[test]
fn refused_frames_are_counted_and_change_nothing() {
    let mut other_version = frames().remove(0);
    other_version[0] = 99;
    let mut longer = frames().remove(0);
    longer.push(0);
    let table: [(&[u8], &str); 5] = [
        (&[], "empty"),
        (&other_version, "other-version"),
        (&longer, "corrupt"),
        (&[PROTOCOL_VERSION, 1, 2], "corrupt"),
        (&frame_of(&[250, 250, 250]), "malformed"),
    ];
    let mut network = Network::new(&[3], 22);
    network.run(10);

    for (frame, reason) in table {
        let metrics = Metrics::default();
        network.nodes[0].membership.register(&metrics);
        let before = network.nodes[0].membership.members();

        network.deliver_frame(0, frame);

        let text = metrics.encode().expect("text");
        let line = format!("membership_frames_refused_total{{reason=\"{reason}\"}}");
        assert!(text.contains(&line), "{reason}: {text}");
        assert_eq!(network.nodes[0].membership.members(), before);
    }
}

#[test]
fn an_error_names_the_other_version() {
    let error = decode::<PeerFrame>(&[9, 1, 2]).expect_err("another version");

    assert_eq!(error, FrameError::OtherVersion(9));
}

proptest! {
    #![proptest_config(cases(23))]

    #[test]
    fn any_bytes_are_taken_without_harm(
        version in prop_oneof![Just(PROTOCOL_VERSION), any::<u8>()],
        payload in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut network = Network::new(&[2], 24);
        network.run(3);
        let frame = [vec![version], payload.clone()].concat();

        network.deliver_frame(0, &frame);
        network.deliver_frame(0, &frame_of(&payload));
        network.run(3);

        let own = network.state(0, 0);
        prop_assert_eq!(own, Some(MemberState::Alive));
    }

    #[test]
    fn any_changed_byte_is_taken_without_harm(
        pick: prop::sample::Index,
        at: prop::sample::Index,
        value: u8,
    ) {
        let mut network = Network::new(&[3], 25);
        network.run(5);
        let all = frames();
        let mut frame = pick.get(&all).clone();
        let at = at.index(frame.len());
        frame[at] = value;

        network.deliver_frame(0, &frame);
        network.run(20);

        prop_assert_eq!(network.state(1, 0), Some(MemberState::Alive));
    }
}
