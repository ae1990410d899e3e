use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::config::QueueRoute;

use crate::fixture::queue_config;

/// Guards against a call that reaches the queue of a shorter prefix, and against an older version
/// of the configuration that arrives late.
#[test]
fn the_longest_prefix_of_a_queue_wins_and_versions_never_go_back() {
    let route = |prefix: &str, priority| QueueRoute {
        host: "a.example".into(),
        path_prefix: prefix.into(),
        timeout: Duration::from_secs(3),
        queue: Arc::new(queue_config(priority)),
    };
    let routes = vec![route("/a/", 0), route("/a/b/", 1)];
    let config = |version| DeploymentConfig::new(version, 1_000, routes.clone(), HashMap::new());
    let active = dotterelhook_jobs::config::ActiveConfig::default();

    let accepted = [3, 2, 3, 4].map(|version| active.activate_if_newer(config(version)));

    let current = active.current().expect("a configuration");
    let (found, rest) = current.route("a.example", "/a/b/c").expect("a route");
    assert_eq!(accepted, [true, false, false, true]);
    assert_eq!((found.queue.priority, rest), (1, "c"));
}

#[test]
fn a_port_is_no_part_of_the_host_also_behind_an_ipv6_address() {
    let route = |host: &str| QueueRoute {
        host: host.into(),
        path_prefix: "/".into(),
        timeout: Duration::from_secs(3),
        queue: Arc::new(queue_config(0)),
    };
    let routes = vec![route("a.example"), route("[fd00::1]")];
    let config = DeploymentConfig::new(1, 1_000, routes, HashMap::new());

    let hosts = [
        "a.example",
        "a.example:80",
        "[fd00::1]",
        "[fd00::1]:80",
        "[fd00::2]:80",
        "",
    ];
    let found = hosts.map(|host| config.route(host, "/x").is_some());

    assert_eq!(found, [true, true, true, true, false, false]);
}
