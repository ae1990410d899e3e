use std::str::FromStr;

use dotterelhook_jobs::ownership::MemberName;

fn member(text: &str) -> MemberName {
    MemberName::from_str(text).expect("a member's name")
}

#[test]
fn a_members_name_is_read_as_it_was_written() {
    let text = "edge-laguna-1/17@10.1.0.13:7720#500";

    let member = member(text);

    assert_eq!(member.to_string(), text);
    assert_eq!(&*member.host, "edge-laguna-1");
    assert_eq!(member.cpu_milli.0, 500);
}

#[test]
fn a_text_of_another_form_is_no_member() {
    for text in [
        "",
        "a/1",
        "a/1@b#5",
        "a/x@1.1.1.1:1#5",
        "a/1@1.1.1.1:1#x",
        "a/1@1.1.1.1:1",
    ] {
        assert!(MemberName::from_str(text).is_err(), "{text}");
    }
}

#[test]
fn mixed_hosts_give_cells_to_the_strongest_and_then_the_youngest() {
    let weak_young = member("a/9@1.1.1.1:1#69");
    let strong_old = member("b/1@1.1.1.2:1#500");
    let strong_young = member("c/5@1.1.1.3:1#500");

    assert!(strong_old.election_priority() > weak_young.election_priority());
    assert!(strong_young.election_priority() > strong_old.election_priority());
}
