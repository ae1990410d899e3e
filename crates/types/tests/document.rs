//! Document errors name line, column, field, value and rule.

use dotterelhook_types::document::Document;
use dotterelhook_types::document::DocumentError;
use dotterelhook_types::document::FieldError;
use proptest::prelude::*;
use serde::Deserialize;

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Inner {
    size: u32,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Outer {
    name: Box<str>,
    list: Vec<Inner>,
}

fn decode(text: &str) -> Result<Outer, DocumentError> {
    Document::parse("test.jsonc", text)?.decode()
}

#[test]
fn comments_and_trailing_commas_are_allowed() {
    let text = "{ // comment\n \"name\": \"a\", /* more */ \"list\": [{\"size\": 1},], }";

    let decoded = decode(text).unwrap();

    assert_eq!(
        decoded,
        Outer {
            name: "a".into(),
            list: vec![Inner { size: 1 }]
        }
    );
}

#[test]
fn each_fault_names_its_place() {
    let table = [
        ("{\n  \"name\": 3,\n  \"list\": []\n}", (2, 11), "name", "3"),
        (
            "{\"name\": \"a\",\n\"list\": [{\"size\": -1}]}",
            (2, 19),
            "list[0].size",
            "-1",
        ),
        (
            "{\"name\": \"a\", \"list\": [],\n \"other\": 1}",
            (2, 11),
            "other",
            "1",
        ),
        ("{\"name\": \"a\"}", (1, 1), "", "{\"name\": \"a\"}"),
        ("{\"name\": }", (1, 10), "", ""),
        ("", (1, 1), "", ""),
    ];
    for (text, position, field, value) in table {
        let error = decode(text).unwrap_err();

        assert_eq!((error.line, error.column), position, "{text}: {error}");
        assert_eq!(
            (&*error.field, &*error.value),
            (field, value),
            "{text}: {error}"
        );
        assert!(!error.rule.is_empty(), "{text}");
    }
}

#[test]
fn a_checked_fault_is_located() {
    let document = Document::parse("a.jsonc", "{\n \"list\": [\n  {\"size\": 7}]}").unwrap();

    let error = document.locate(&FieldError::new("list[0].size", "must be 1 to 5"));

    assert_eq!(
        error.to_string(),
        "a.jsonc:3:12: field list[0].size: value 7: must be 1 to 5"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_parsed_or_refused(text in "\\PC{0,80}", field in "[a-z.\\[\\]0-9]{0,20}") {
        if let Ok(document) = Document::parse("any.jsonc", &text) {
            let _ = document.decode::<Outer>();
            document.locate(&FieldError::new(field, "rule"));
        }
    }
}
