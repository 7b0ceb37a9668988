//! Tests of the error messages of invalid documents.

use carawayseam_config::Document;

const BEN_SLAMA: &str = include_str!("../../../examples/ben-slama.yaml");

/// Returns the error message of the example with one text replaced.
fn message(from: &str, to: &str) -> String {
    assert!(BEN_SLAMA.contains(from), "the example contains the text");
    let text = BEN_SLAMA.replacen(from, to, 1);
    let error = Document::from_yaml("ben-slama.yaml", &text).expect_err("the document is invalid");
    error.to_string()
}

#[test]
fn an_undeclared_name_is_reported_with_its_line() {
    let text = message(
        "zone: sfax-b, address: \"10.20.2.21",
        "zone: sousse, address: \"10.20.2.21",
    );
    insta::assert_snapshot!(text, @"ben-slama.yaml:35: engines[13].zone: `sousse` is not declared under `zones`");
}

#[test]
fn a_missing_version_is_reported_with_its_backend() {
    insta::assert_snapshot!(message("to: guide-2", "to: guide-3"), @"ben-slama.yaml:46: moves[0].to: no engine of `guide` is declared with version `guide-3`");
}

#[test]
fn a_number_out_of_range_is_reported_with_its_range() {
    insta::assert_snapshot!(message("share: 10,", "share: 0,"), @"ben-slama.yaml:12: organisations[1].share: expected a share of at least 1, found 0");
}
