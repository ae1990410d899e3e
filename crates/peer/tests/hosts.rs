//! The accepted host list survives platform outages and lists with implausible gaps.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_borders::hosts::HostState;
use dotterelhook_borders::hosts::MemoryHostList;
use dotterelhook_borders::hosts::TargetEntry;
use dotterelhook_borders::hosts::WorkerEntry;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::names;
use dotterelhook_peer::hosts::HostFollower;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::hosts::accept_list;

const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Builds targets and workers from "DOMAIN/NAME" and "DOMAIN/NAME/leaving".
fn snapshot(targets: &[&str], workers: &[&str]) -> HostSnapshot {
    HostSnapshot {
        targets: targets.iter().map(|text| target(text)).collect(),
        workers: workers.iter().map(|text| worker(text)).collect(),
    }
}

fn parts(text: &str) -> (&str, &str, HostState) {
    let mut parts = text.split('/');
    let domain = parts.next().expect("a domain");
    let name = parts.next().expect("a name");
    let state = parts.next().map_or(HostState::Live, |text| {
        text.parse::<HostState>().expect("a state")
    });
    (domain, name, state)
}

fn target(text: &str) -> TargetEntry {
    let (domain, name, state) = parts(text);
    TargetEntry {
        target: name.parse().expect("a name"),
        service: "booking".parse().expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: domain.parse().expect("a name"),
        worker: "worker-1".parse().expect("a name"),
        slots: 8,
        connections_max: 64,
        state,
    }
}

fn worker(text: &str) -> WorkerEntry {
    let (domain, name, state) = parts(text);
    WorkerEntry {
        worker: name.parse().expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: domain.parse().expect("a name"),
        rack: "rack-1".parse().expect("a name"),
        state,
    }
}

/// Guards against a faulty list that removes a whole failure domain from service.
#[test]
fn what_vanishes_at_once_is_kept() {
    let all = snapshot(&["a/t1", "a/t2", "b/t3"], &["a/w1", "b/w2"]);
    let leaving = snapshot(&["a/t1/leaving"], &["a/w1/leaving"]);
    let table: [(&str, &HostSnapshot, HostSnapshot, HostSnapshot, &[&str]); 6] = [
        (
            "all vanish",
            &all,
            HostSnapshot::default(),
            all.clone(),
            &["a", "b"],
        ),
        (
            "one domain vanishes",
            &all,
            snapshot(&["a/t1", "a/t2"], &["a/w1"]),
            all.clone(),
            &["b"],
        ),
        (
            "the targets vanish",
            &all,
            snapshot(&[], &["a/w1", "b/w2"]),
            all.clone(),
            &["a", "b"],
        ),
        (
            "some leave",
            &all,
            snapshot(&["a/t2", "b/t3"], &["a/w1", "b/w2"]),
            snapshot(&["a/t2", "b/t3"], &["a/w1", "b/w2"]),
            &[],
        ),
        (
            "those that were leaving vanish",
            &leaving,
            HostSnapshot::default(),
            HostSnapshot::default(),
            &[],
        ),
        (
            "the first list is empty",
            &HostSnapshot::default(),
            HostSnapshot::default(),
            HostSnapshot::default(),
            &[],
        ),
    ];

    for (name, known, newer, expected, retained) in table {
        let accepted = accept_list(known, newer);

        let domains: Vec<&str> = accepted
            .retained_domains
            .iter()
            .map(|d| d.as_str())
            .collect();
        assert_eq!(accepted.snapshot, expected, "{name}");
        assert_eq!(domains, retained, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_last_list_stays_in_use_while_the_platform_is_down_or_empty() {
    let list = Arc::new(MemoryHostList::default());
    let full = snapshot(&["a/t1"], &["a/w1"]);
    list.set(full.clone());
    let kernel = Kernel::default();
    let metrics = Arc::new(Metrics::default());
    kernel
        .registry()
        .provide::<Metrics>(names::METRICS, metrics.clone());
    let follower = HostFollower::new(list.clone(), POLL_INTERVAL);
    kernel.start(Box::new(follower)).await.expect("starts");
    let view = kernel
        .registry()
        .find::<dyn HostView>(names::HOSTS)
        .expect("provided");
    tokio::time::sleep(POLL_INTERVAL).await;
    let before = view.current();

    list.set_down(true);
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    let while_down = view.current();
    list.set(HostSnapshot::default());
    list.set_down(false);
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    let while_empty = view.current();
    list.set(snapshot(&["a/t2"], &["a/w1"]));
    tokio::time::sleep(POLL_INTERVAL * 2).await;

    assert_eq!(*before, full);
    assert_eq!(*while_down, full);
    assert_eq!(*while_empty, full);
    assert_eq!(*view.current(), snapshot(&["a/t2"], &["a/w1"]));
    let text = metrics.encode().expect("text");
    assert!(text.contains("host_list_reads_refused_total{reason=\"unread\"}"));
    assert!(text.contains("host_list_reads_refused_total{reason=\"vanished\"}"));
}
