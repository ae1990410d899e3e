//! Requests that go through another front: repeated idempotency keys, and other failure domains.
//!
//! Guards against a keyed request that runs twice and against a false `not-run` verdict. Both may
//! come about when fronts die, membership views differ or links are cut.

mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_front::FrontSettings;
use dotterelhook_peer::membership::MemberState;
use dotterelhook_standins::link::LinkState;
use dotterelhook_standins::link::TcpLink;
use dotterelhook_standins::server::Fault;
use dotterelhook_standins::server::FaultBody;
use dotterelhook_standins::target::AfterAnswer;
use dotterelhook_standins::target::RawTarget;
use dotterelhook_standins::target::ReadUpTo;
use dotterelhook_standins::target::Script;
use dotterelhook_standins::target::TargetServer;
use dotterelhook_standins::target::TargetSettings;
use fixtures::PATH;
use fixtures::StoppedClock;
use fixtures::TestFront;
use fixtures::header;
use fixtures::request;
use fixtures::send;
use fixtures::set_members;
use fixtures::settings;
use fixtures::start_named_front;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use tokio::net::TcpListener;

const TIMEOUT_MS: u64 = 60_000;

async fn target_server() -> (Arc<TargetServer>, SocketAddr) {
    let target = Arc::new(TargetServer::new(TargetSettings {
        slots: 8,
        connections_max: 64,
        service_time: Duration::ZERO,
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Arc::clone(&target).serve(listener));
    (target, address)
}

fn set_fault(target: &TargetServer, fault: Fault) {
    target.faults().set(FaultBody { fault, delay_ms: 0 });
}

async fn start_front_in(host: &str, domain: &str, targets: &[SocketAddr]) -> TestFront {
    let settings = FrontSettings {
        failure_domain: domain.parse().unwrap(),
        ..settings()
    };
    start_named_front(host, settings, TIMEOUT_MS, targets).await
}

fn keyed_request(key: &str, body: &str) -> Request<Full<Bytes>> {
    Request::post(PATH)
        .header("host", "front")
        .header("x-request-id", key)
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

async fn link_to(to: SocketAddr) -> (Arc<TcpLink>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (TcpLink::start(listener, to), address)
}

async fn purchase(front: &TestFront, key: &str) -> Response<Bytes> {
    send(front.address, keyed_request(key, "a voucher"))
        .await
        .unwrap()
}

#[tokio::test]
async fn a_repeat_through_any_front_gets_the_first_answer_and_runs_once() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    let two = start_front_in("laguna-2", "laguna", &[address]).await;
    set_members(&[&one, &two]);

    for number in 0..20 {
        let key = format!("key-{number}");
        for front in [&one, &two, &one] {
            let answer = purchase(front, &key).await;
            assert_eq!(answer.status(), 200, "{:?}", answer.body());
            assert_eq!(&answer.body()[..], b"a voucher");
            assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("ran"));
        }
    }

    let counters = target.counters();
    assert_eq!((counters.executed, counters.repeated), (20, 0));
}

#[tokio::test]
async fn repeats_at_the_same_time_run_once() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    let two = start_front_in("laguna-2", "laguna", &[address]).await;
    set_members(&[&one, &two]);

    for number in 0..20 {
        let key = format!("key-{number}");
        let (a, b, c) = tokio::join!(
            purchase(&one, &key),
            purchase(&two, &key),
            purchase(&one, &key)
        );
        let statuses = [a.status(), b.status(), c.status()];
        assert!(statuses.iter().any(|status| *status == 200), "{statuses:?}");
    }

    let counters = target.counters();
    assert_eq!((counters.executed, counters.repeated), (20, 0));
}

#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    set_members(&[&one]);
    purchase(&one, "key").await;

    let answer = send(one.address, keyed_request("key", "two vouchers"))
        .await
        .unwrap();

    assert_eq!(answer.status(), 409);
    assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("not-run"));
    assert_eq!(target.counters().executed, 1);
}

#[tokio::test]
async fn a_repeat_after_a_lost_answer_does_not_run_again() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    set_members(&[&one]);
    set_fault(&target, Fault::LoseAnswers);

    let lost = purchase(&one, "key").await;
    set_fault(&target, Fault::None);
    let repeat = purchase(&one, "key").await;

    assert_eq!(
        header(&lost, "x-dotterelhook-verdict"),
        Some("may-have-run")
    );
    assert_eq!(repeat.status(), 409);
    assert_eq!(target.counters().executed, 1);
}

#[tokio::test]
async fn a_repeat_after_a_refusal_runs() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    let two = start_front_in("laguna-2", "laguna", &[address]).await;
    set_members(&[&one, &two]);
    set_fault(&target, Fault::Full);
    let refused = purchase(&one, "key").await;
    set_fault(&target, Fault::None);

    let answer = loop {
        let answer = purchase(&two, "key").await;
        if answer.status() != 503 {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };

    assert_eq!(header(&refused, "x-dotterelhook-verdict"), Some("not-run"));
    assert_eq!(answer.status(), 200);
    assert_eq!(target.counters().executed, 1);
}

#[tokio::test]
async fn a_key_survives_the_death_of_its_home() {
    let (target, address) = target_server().await;
    for number in 0..10 {
        let key = format!("key-{number}");
        let one = start_front_in("laguna-1", "laguna", &[address]).await;
        let two = start_front_in("laguna-2", "laguna", &[address]).await;
        set_members(&[&one, &two]);
        purchase(&one, &key).await;

        // Either front may be the key's home; the repeat goes to the one that survives.
        set_members(&[&two]);
        let repeat = purchase(&two, &key).await;

        assert!([200, 409].contains(&repeat.status().as_u16()));
        assert_eq!(target.counters().executed, number + 1);
    }
}

#[tokio::test]
async fn a_key_is_refused_while_a_front_that_may_know_it_does_not_answer() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    let gone = start_front_in("laguna-2", "laguna", &[address]).await;
    let mut lost = gone.member();
    // Nothing listens at this address, and membership does not report the front as dead yet.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    lost.heartbeat.peer_address = closed.local_addr().unwrap();
    *one.membership.members.lock().unwrap() = vec![one.member(), lost.clone()];

    let refused = purchase(&one, "key").await;
    lost.state = MemberState::Dead;
    *one.membership.members.lock().unwrap() = vec![one.member(), lost];
    let served = purchase(&one, "key").await;

    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "x-dotterelhook-verdict"), Some("not-run"));
    assert_eq!(served.status(), 200);
    assert_eq!(target.counters().executed, 1);
}

#[tokio::test]
async fn fronts_whose_views_differ_do_not_both_run_a_key() {
    let (target, address) = target_server().await;
    let one = start_front_in("laguna-1", "laguna", &[address]).await;
    let two = start_front_in("laguna-2", "laguna", &[address]).await;
    set_members(&[&one, &two]);
    set_members(&[&two]);

    for number in 0..20 {
        let key = format!("key-{number}");
        let (a, b) = tokio::join!(purchase(&one, &key), purchase(&two, &key));
        let _ = (a, b);
    }

    assert_eq!(target.counters().repeated, 0);
}

#[tokio::test]
async fn another_domain_serves_what_the_own_one_can_not() {
    let (near, near_address) = target_server().await;
    let (far, far_address) = target_server().await;
    let own = start_front_in("laguna-1", "laguna", &[near_address]).await;
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    set_members(&[&own, &other]);
    set_fault(&near, Fault::Full);

    let answer = send(own.address, request("POST", "x")).await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("ran"));
    assert_eq!((near.counters().executed, far.counters().executed), (0, 1));
}

#[tokio::test]
async fn answers_stay_whole_over_a_link_that_is_slow_and_jitters() {
    let (far, far_address) = target_server().await;
    let own = start_front_in("laguna-1", "laguna", &[]).await;
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    let (link, link_address) = link_to(other.peer_address).await;
    link.set(LinkState {
        is_cut: false,
        delay_ms: 5,
        jitter_ms: 5,
    });
    let mut seen = other.member();
    seen.heartbeat.peer_address = link_address;
    *own.membership.members.lock().unwrap() = vec![own.member(), seen];

    for number in 0..50 {
        let body = format!("{number} ").repeat(500);
        let answer = send(own.address, request("POST", &body)).await.unwrap();

        assert_eq!(answer.status(), 200);
        assert_eq!(&answer.body()[..], body.as_bytes());
    }
    assert_eq!(far.counters().executed, 50);
}

#[tokio::test]
async fn a_link_that_is_cut_in_the_middle_leaves_the_outcome_open() {
    let (far, far_address) = target_server().await;
    set_fault(&far, Fault::Frozen);
    let own = start_named_front("laguna-1", settings(), 1_000, &[]).await;
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    let (link, link_address) = link_to(other.peer_address).await;
    let mut seen = other.member();
    seen.heartbeat.peer_address = link_address;
    *own.membership.members.lock().unwrap() = vec![own.member(), seen];
    let waiting = tokio::spawn(send(own.address, request("POST", "x")));
    while far.counters().in_flight == 0 {
        tokio::task::yield_now().await;
    }

    link.set(LinkState {
        is_cut: true,
        ..LinkState::default()
    });
    let answer = waiting.await.unwrap().unwrap();

    assert_eq!(
        header(&answer, "x-dotterelhook-verdict"),
        Some("may-have-run")
    );
    assert_eq!(far.counters().executed, 1);
}

#[tokio::test]
async fn a_request_goes_one_hop_and_keeps_its_verdict() {
    let (near, near_address) = target_server().await;
    let (far, far_address) = target_server().await;
    let own = start_front_in("laguna-1", "laguna", &[near_address]).await;
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    set_members(&[&own, &other]);
    let cases = [
        (Fault::LoseAnswers, "may-have-run"),
        (Fault::Full, "not-run"),
    ];

    for (fault, verdict) in cases {
        set_fault(&near, Fault::Full);
        set_fault(&far, fault);
        let answer = send(own.address, request("POST", "x")).await.unwrap();

        assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some(verdict));
        assert_eq!((near.counters().executed, far.counters().executed), (0, 1));
    }
}

#[tokio::test]
async fn a_request_that_may_have_run_here_is_not_said_to_be_not_run_elsewhere() {
    let script = Script {
        read: ReadUpTo::Whole,
        answer: Vec::new(),
        after_answer: AfterAnswer::Close,
    };
    let (far, far_address) = target_server().await;
    set_fault(&far, Fault::Full);
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    for _ in 0..20 {
        let cut = RawTarget::start(script.clone()).await.unwrap();
        let near = [cut.address(), closed.local_addr().unwrap()];
        let own = start_front_in("laguna-1", "laguna", &near).await;
        set_members(&[&own, &other]);

        let answer = send(own.address, request("GET", "")).await.unwrap();

        let verdict = header(&answer, "x-dotterelhook-verdict").unwrap();
        assert_eq!(verdict == "not-run", cut.heads_received() == 0, "{verdict}");
    }
}

#[tokio::test]
async fn without_budget_or_time_no_other_domain_is_asked() {
    let (near, near_address) = target_server().await;
    let (far, far_address) = target_server().await;
    set_fault(&near, Fault::Full);
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    for (timeout_ms, budget) in [(TIMEOUT_MS, 10), (20, 1 << 20)] {
        let settings = FrontSettings {
            forward_bytes_per_second: budget,
            ..settings()
        };
        let own = start_named_front("laguna-1", settings, timeout_ms, &[near_address]).await;
        set_members(&[&own, &other]);
        // A busy machine must not use up the 20 ms before the near target has answered.
        let stopped_clock = StoppedClock::stop();

        let answer = send(own.address, request("POST", "x")).await.unwrap();

        drop(stopped_clock);
        assert_eq!(answer.status(), 503);
        assert_eq!(header(&answer, "x-dotterelhook-verdict"), Some("not-run"));
    }
    assert_eq!(far.counters().executed, 0);
}

#[tokio::test]
async fn answers_of_a_keys_home_leave_the_budget_for_other_domains_alone() {
    const BODY_BYTES: usize = 8 << 10;
    let (near, near_address) = target_server().await;
    let (far, far_address) = target_server().await;
    let with_budget = || FrontSettings {
        forward_bytes_per_second: 4 * BODY_BYTES,
        ..settings()
    };
    let own = start_named_front("laguna-1", with_budget(), TIMEOUT_MS, &[near_address]).await;
    let home = start_named_front("laguna-2", with_budget(), TIMEOUT_MS, &[near_address]).await;
    let other = start_front_in("pampanga-1", "pampanga", &[far_address]).await;
    set_members(&[&own, &home, &other]);
    let body = "x".repeat(BODY_BYTES);
    for number in 0..40 {
        let keyed = keyed_request(&format!("key-{number}"), &body);
        let answer = send(own.address, keyed).await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    set_fault(&near, Fault::Full);
    let answer = send(own.address, request("POST", "x")).await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(far.counters().executed, 1);
}

/// Guards against claims one after the other that take longer than the caller waits.
#[tokio::test(start_paused = true)]
async fn the_claims_of_a_key_at_slow_fronts_end_with_the_requests_time() {
    const SLOW_FRONTS: usize = 4;
    let (_, address) = target_server().await;
    let own = start_named_front("laguna-1", settings(), 500, &[address]).await;
    let mut members = vec![own.member()];
    let mut slow = Vec::new();
    for number in 0..SLOW_FRONTS {
        let front = start_front_in(&format!("laguna-slow-{number}"), "laguna", &[address]).await;
        let (link, link_address) = link_to(front.peer_address).await;
        link.set(LinkState {
            is_cut: false,
            delay_ms: 110,
            jitter_ms: 0,
        });
        let mut member = front.member();
        member.heartbeat.peer_address = link_address;
        members.push(member);
        slow.push((front, link));
    }
    *own.membership.members.lock().unwrap() = members;
    let mut longest = Duration::ZERO;

    for number in 0..20 {
        let begun_at = tokio::time::Instant::now();
        purchase(&own, &format!("key-{number}")).await;
        longest = longest.max(begun_at.elapsed());
    }

    assert!(longest <= Duration::from_millis(600), "{longest:?}");
}
