//! Tests of the findings on valid and invalid documents.

use carawayseam_config::{CheckedDocument, Document};
use carawayseam_types::{Difference, Severity};

const BEN_SLAMA: &str = include_str!("../../../examples/ben-slama.yaml");
const WITH_WARNINGS: &str = include_str!("documents/warnings.yaml");
const WITH_ERRORS: &str = include_str!("documents/errors.yaml");

fn findings(file: &str, text: &str) -> String {
    let checked = CheckedDocument::from_yaml(file, text);
    let lines: Vec<String> = checked.findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against warnings about a document in which everything is used.
#[test]
fn a_document_without_faults_has_no_findings() {
    assert_eq!(findings("ben-slama.yaml", BEN_SLAMA), "");
}

/// Guards against a kind of warning that is lost, or names a wrong line or field.
#[test]
fn each_kind_of_warning_is_found() {
    let checked = CheckedDocument::from_yaml("warnings.yaml", WITH_WARNINGS);
    assert!(checked.document.is_some(), "warnings leave the document valid");
    assert!(checked.findings.iter().all(|finding| {
        finding.severity == Severity::Warning
            && !finding.forbids_sending(false)
            && finding.forbids_sending(true)
    }));
    insta::assert_snapshot!(findings("warnings.yaml", WITH_WARNINGS));
}

/// Guards against a check that ends at the first error, or reports errors that only follow from another.
#[test]
fn all_errors_are_found_in_one_run() {
    let checked = CheckedDocument::from_yaml("errors.yaml", WITH_ERRORS);
    assert!(checked.document.is_none());
    assert!(
        checked
            .findings
            .iter()
            .all(|finding| finding.forbids_sending(false))
    );
    insta::assert_snapshot!(findings("errors.yaml", WITH_ERRORS));
    let first = Document::from_yaml("errors.yaml", WITH_ERRORS).expect_err("the document is invalid");
    assert_eq!(first.to_string(), checked.findings[0].to_string());
}

/// Guards against a difference without the changed fields or with values that are hard to read.
#[test]
fn a_difference_names_the_changed_fields() {
    let older = Document::from_yaml("older.yaml", BEN_SLAMA).expect("the example is valid");
    let mut text = BEN_SLAMA.to_owned();
    for (from, to) in [
        (
            "tiers: [installer, showroom, office]",
            "tiers: [showroom, installer, office]",
        ),
        (
            "{name: gabes-fitters, share: 10, tiers: [installer]}",
            "{name: gabes-fitters, share: 12, tiers: [installer, office]}",
        ),
        (
            "{name: orders-b, backend: orders",
            "{name: orders-d, backend: orders",
        ),
        ("max_deadline: 20s", "max_deadline: 30s"),
        ("within: 30m", "within: 1h"),
        ("max_body: 256KiB", "max_body: 64KiB"),
    ] {
        assert!(text.contains(from), "the example contains `{from}`");
        text = text.replacen(from, to, 1);
    }
    let newer = Document::from_yaml("newer.yaml", &text).expect("the changed document is valid");
    insta::assert_snapshot!(
        Difference::between(&older, &newer)
            .to_string()
            .replace("; ", "\n")
    );
    assert!(Difference::between(&older, &older).is_empty());
}
