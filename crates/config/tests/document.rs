//! Tests of parsing valid and invalid documents.

use carawayseam_config::{Document, DocumentProblem};

const BEN_SLAMA: &str = include_str!("../../../examples/ben-slama.yaml");
const KHAO_RANG: &str = include_str!("../../../examples/khao-rang.yaml");

#[test]
fn ben_slama_is_valid() {
    let document = Document::from_yaml("ben-slama.yaml", BEN_SLAMA).expect("the example is valid");
    assert_eq!(document.engines.len(), 15);
    assert_eq!(document.organisations.len(), 5);
}

#[test]
fn khao_rang_is_valid() {
    let document = Document::from_yaml("khao-rang.yaml", KHAO_RANG).expect("the example is valid");
    assert_eq!(document.engines.len(), 13);
    assert_eq!(document.zones.len(), 4);
}

/// Defines a test in which one text of the example is replaced, which makes the document invalid.
macro_rules! rejects {
    ($name:ident, $from:literal => $to:literal, $field:literal, $problem:pat) => {
        #[test]
        fn $name() {
            assert!(BEN_SLAMA.contains($from), "the example contains the text");
            let text = BEN_SLAMA.replacen($from, $to, 1);
            let line = text
                .lines()
                .position(|line| line.contains($to))
                .map_or(0, |at| at as u64 + 1);
            let error = Document::from_yaml("d.yaml", &text).expect_err("the document is invalid");
            assert_eq!(error.field, $field);
            assert_eq!(error.line, line, "{error}");
            assert!(matches!(error.problem, $problem), "{error}");
        }
    };
}

rejects!(unknown_zone, "zone: sfax-b, address: \"10.20.2.21" => "zone: sousse, address: \"10.20.2.21", "engines[13].zone", DocumentProblem::Undeclared { .. });
rejects!(unknown_tier, "tiers: [office]}" => "tiers: [warehouse]}", "organisations[4].tiers", DocumentProblem::Undeclared { .. });
rejects!(engine_twice, "name: model-a2" => "name: model-a1, max_concurrency: 8", "engines[1].name", DocumentProblem::Duplicate { .. });
rejects!(share_of_zero, "share: 10," => "share: 0,", "organisations[1].share", DocumentProblem::OutOfRange { .. });
rejects!(rollout_to_missing_version, "to: guide-2" => "to: guide-3", "moves[0].to", DocumentProblem::NoEngineForVersion { .. });
rejects!(rollout_without_time, "within: 30m" => "within: 0ms", "moves[0].within", DocumentProblem::OutOfRange { .. });
rejects!(unrepeatable_model, "backend: guide, idempotent: true, max_output: 24," => "backend: guide, idempotent: false, max_output: 24,", "routes[2].idempotent", DocumentProblem::UnrepeatableModel { .. });
rejects!(unknown_field, "max_body: 256KiB" => "max_bodies: 256KiB", "document", DocumentProblem::Shape { .. });
rejects!(broken_yaml, "environment: ben-slama" => "environment: [ben-slama}", "document", DocumentProblem::Shape { .. });
