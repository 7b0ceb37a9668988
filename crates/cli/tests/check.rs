//! Tests of `check`: its findings, its exit codes, and the comparison with the active version.

#[expect(dead_code, reason = "other tests use the rest of it")]
mod support;

use std::path::{Path, PathBuf};

use carawayseam_cli::{ActiveVersion, CliError, Code, Command, Comparison, Done, run};
use support::{World, file};

const VALID: &str = include_str!("../../../examples/ben-slama.yaml");

async fn check(file: &Path, strict: bool, active: Option<ActiveVersion>) -> Result<Done, CliError> {
    let file = file.to_owned();
    run(Command::Check { strict, active, file }).await
}

fn against(file: PathBuf) -> ActiveVersion {
    ActiveVersion::File { against: file }
}

/// Replaces the path of the temporary file, which differs from run to run.
fn without_path(text: &str, file: &Path) -> String {
    text.replace(&file.display().to_string(), "FILE")
}

/// A rollout whose six steps have less time than two reports of a host are apart.
fn with_short_move() -> String {
    VALID.replace("within: 30m", "within: 10s")
}

/// Guards against warnings that forbid sending, or that `--strict` does not heed.
#[tokio::test]
async fn warnings_fail_only_if_strict() {
    let path = file(&with_short_move());
    let done = check(&path, false, None).await.expect("there are only warnings");
    insta::assert_snapshot!(without_path(&done.to_string(), &path));
    let error = check(&path, true, None).await.expect_err("warnings fail");
    assert_eq!(error.code(), Code::Document);
    check(&file(VALID), true, None)
        .await
        .expect("there are no findings");
}

/// Guards against a JSON result whose findings cannot be read by scripts.
#[tokio::test]
async fn findings_are_typed_in_json() {
    let path = file(&with_short_move());
    let done = check(&path, false, Some(against(file(VALID)))).await;
    let done = done.expect("there are only warnings");
    let json = serde_json::to_string_pretty(&done).expect("results are JSON");
    insta::assert_snapshot!("valid", without_path(&json, &path));

    let path = file(&VALID.replace("share: 40", "share: 0"));
    let error = check(&path, false, Some(against(file(VALID)))).await;
    let error = error.expect_err("the document is invalid");
    let json = serde_json::to_string_pretty(&error.report(error.to_string())).expect("errors are JSON");
    insta::assert_snapshot!("invalid", without_path(&json, &path));
}

/// Guards against a failed strict check that hides what the document changes.
#[tokio::test]
async fn a_strict_failure_shows_the_changes() {
    let path = file(&with_short_move());
    let error = check(&path, true, Some(against(file(VALID)))).await;
    let error = error.expect_err("warnings fail");
    insta::assert_snapshot!(without_path(&error.to_string(), &path));
}

/// Guards against a comparison in the wrong direction or with a version other than the active one.
#[tokio::test]
async fn the_active_version_is_read_from_the_store() {
    let world = World::start().await;
    let active = || Some(ActiveVersion::Store { store: world.flags() });
    let path = file(&world.plain_yaml());
    let compared = |done| match done {
        Done::Valid { comparison, .. } => comparison,
        other => panic!("not a result of `check`: {other:?}"),
    };
    let first = check(&path, false, active())
        .await
        .expect("the document is valid");
    assert_eq!(compared(first), Some(Comparison::NoActiveVersion));
    world.trial(path.clone()).await.expect("all engines answer");
    world
        .promote(path.clone(), "malee")
        .await
        .expect("the trial was passed");
    let changed = file(&world.plain_yaml().replace("share: 45", "share: 46"));
    let second = check(&changed, false, active())
        .await
        .expect("the document is valid");
    let comparison = compared(second).expect("a comparison was requested");
    insta::assert_snapshot!(comparison, @"changes from revision 1: organisations: changed gate (share 45 -> 46)");
}

/// Guards against a store that is called although the document has errors.
#[tokio::test]
async fn a_document_with_errors_is_not_compared() {
    let path = file(&VALID.replace("share: 40", "share: 0"));
    let error = check(&path, false, Some(against("no-such.yaml".into()))).await;
    let error = error.expect_err("the document is invalid");
    assert!(
        matches!(&error, CliError::Findings { findings, comparison: None } if findings.len() == 1),
        "{error:?}"
    );
}
