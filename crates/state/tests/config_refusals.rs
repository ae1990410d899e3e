//! Refused publications, as a table of cases. A refused publication must leave the versions in
//! force unchanged, and its outcome must name field, value and rule.

mod fixture;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::PUBLICATION_MAX_BYTES;
use dotterelhook_types::ids::Offset;
use fixture::Change;
use fixture::append;
use fixture::change;
use fixture::job;
use fixture::quota;
use fixture::service;
use serde_json::Value;
use serde_json::json;

struct Case {
    name: &'static str,
    change: Change,
    field: &'static str,
    value: &'static str,
    rule: &'static str,
}

/// Returns a configuration of a service, a job and a quota at offsets 0 to 2, and a job that was
/// added at offset 3 and removed at offset 4.
fn state() -> ConfigState {
    let mut state = ConfigState::default();
    let records = [
        change("w0", "team/services/web", None, Some(service("/web/"))),
        change("w1", "team/jobs/night", None, Some(job(4_000))),
        change("w2", "team/quota", None, Some(quota(8_000))),
        change("w3", "team/jobs/gone", None, Some(job(1_000))),
        change("w4", "team/jobs/gone", Some(3), None),
    ];
    for record in records {
        append(&mut state, &record.payload()).expect("a valid publication");
    }
    state
}

fn with_field(mut body: Value, field: &str, value: Value) -> Option<Value> {
    body[field] = value;
    Some(body)
}

fn as_other_team(mut change: Change) -> Change {
    change.team = "rival".to_owned();
    change
}

#[rustfmt::skip]
fn cases() -> Vec<Case> {
    let case = |name, change, field, value, rule| Case { name, change, field, value, rule };
    let web = "team/services/web";
    vec![
        case("other team's path", as_other_team(change("x", web, Some(0), Some(service("/web/")))),
            "team", "rival", "the path belongs to team team"),
        case("other team's removal", as_other_team(change("x", web, Some(0), None)),
            "team", "rival", "the path belongs to team team"),
        case("base that was never in force", change("x", web, Some(1), Some(service("/web/"))),
            "base_offset", "1", "the base is stale: version 0 is in force"),
        case("path taken for new", change("x", web, None, Some(service("/web/"))),
            "base_offset", "none", "the base is stale: version 0 is in force"),
        case("version that was removed", change("x", "team/jobs/gone", Some(3), Some(job(1))),
            "base_offset", "3", "the base is stale: no version is in force"),
        case("base not yet written", change("x", "team/jobs/new", Some(5), Some(job(1))),
            "base_offset", "5", "must be below the record's own offset"),
        case("removal of nothing", change("x", "team/jobs/none", Some(4), None),
            "path", "team/jobs/none", "only a path in force can be removed"),
        case("kind of path that is unknown", change("x", "team/things/a", Some(4), Some(job(1))),
            "path", "team/things/a", "a path is TEAM/services/NAME, TEAM/jobs/NAME or TEAM/quota"),
        case("unknown field", change("x", web, Some(0), with_field(service("/web/"), "colour", json!(1))),
            "colour", "1", "unknown field `colour`"),
        case("text for a number", change("x", web, Some(0), with_field(service("/web/"), "replicas", json!("many"))),
            "replicas", "\"many\"", "invalid type"),
        case("size of nothing", change("x", "team/jobs/night", Some(1), Some(job(0))),
            "size.cpu_milli", "0", "must be 1 to 1024000"),
        case("size of no worker", change("x", "team/jobs/night", Some(1), Some(job(2_000_000))),
            "size.cpu_milli", "2000000", "must be 1 to 1024000"),
        case("job above the quota", change("x", "team/jobs/night", Some(1), Some(job(9_000))),
            "size", "{\"cpu_milli\":9000,\"memory_mb\":1000}", "one task must fit in the team's quota"),
        case("quota below a job", change("x", "team/quota", Some(2), Some(quota(3_000))),
            "batch", "{\"cpu_milli\":3000,\"memory_mb\":100000}", "must hold one task of team/jobs/night"),
        case("prefix of another service", change("x", "team/services/b", Some(4), Some(service("/web/"))),
            "path_prefix", "\"/web/\"", "already taken by team/services/web"),
        case("prefix inside another team's", change("x", "rival/services/b", Some(4), Some(service("/web/a/"))),
            "path_prefix", "\"/web/a/\"", "already taken by team/services/web"),
        case("prefix around another team's", change("x", "rival/services/b", Some(4), Some(service("/"))),
            "path_prefix", "\"/\"", "already taken by team/services/web"),
        case("name of another service", change("x", "rival/services/web", Some(4), Some(service("/x/"))),
            "path", "rival/services/web", "the service's name is taken by team/services/web"),
    ]
}

#[test]
fn each_bad_publication_is_refused_with_field_value_and_rule() {
    for case in cases() {
        let mut state = state();
        let before = state.versions().clone();

        let refusal = append(&mut state, &case.change.payload()).expect_err(case.name);

        let outcome = state.outcomes().back().expect(case.name);
        assert_eq!(refusal.field(), case.field, "{}", case.name);
        assert_eq!(&*outcome.value, case.value, "{}", case.name);
        assert!(
            refusal.rule().starts_with(case.rule),
            "{}: {refusal}",
            case.name
        );
        assert_eq!(outcome.refusal.as_ref(), Some(&refusal), "{}", case.name);
        assert_eq!(*state.versions(), before, "{}", case.name);
    }
}

#[test]
fn records_that_are_no_publications_are_refused_and_counted() {
    let large = format!("{{\"writer\":\"{}\"}}", "x".repeat(PUBLICATION_MAX_BYTES));
    let mut long_writer = change("x", "team/jobs/new", Some(4), Some(job(1)));
    long_writer.writer = "w".repeat(65);
    let texts = [
        "",
        "{",
        "[]",
        "{\"writer\":1}",
        &large,
        &long_writer.payload(),
    ];
    for text in texts {
        let mut state = state();
        let before = state.versions().clone();

        let result = append(&mut state, text);

        assert!(result.is_err(), "{text:.40}");
        assert_eq!(state.next_offset(), Offset(6), "{text:.40}");
        assert_eq!(*state.versions(), before, "{text:.40}");
    }
}

#[test]
fn a_team_may_nest_prefixes_of_its_own_and_the_longest_one_routes() {
    let mut state = state();
    let inner = change(
        "x",
        "team/services/inner",
        Some(4),
        Some(service("/web/a/")),
    );

    append(&mut state, &inner.payload()).expect("the team's own prefix");

    let names = ["/web/a/b", "/web/b", "/web", "/other"]
        .map(|path| state.route(path).map(|(name, _)| name.as_str().to_owned()));
    let expected = [Some("inner"), Some("web"), None, None];
    assert_eq!(names, expected.map(|name| name.map(str::to_owned)));
}

#[test]
fn a_record_beyond_the_next_one_is_not_applied() {
    let mut state = state();
    let before = state.clone();
    let later = change("x", "team/jobs/new", Some(4), Some(job(1)));

    let result = state.apply(Offset(7), &later.payload());

    assert!(result.is_err());
    assert_eq!(state, before);
}

#[test]
fn of_two_operators_on_one_base_the_first_wins_and_the_second_learns_the_version() {
    let first = change("first", "team/jobs/night", Some(1), Some(job(1_000)));
    let second = change("second", "team/jobs/night", Some(1), Some(job(2_000)));
    let mut state = state();

    let first_result = append(&mut state, &first.payload());
    let second_result = append(&mut state, &second.payload());

    assert_eq!(first_result, Ok(()));
    let refusal = second_result.expect_err("the base is stale");
    assert_eq!(
        refusal.to_string(),
        "base_offset: the base is stale: version 5 is in force"
    );
}
