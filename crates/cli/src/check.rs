//! `check`: the findings on a document, and its differences from the active version.

use std::fmt;
use std::path::Path;

use carawayseam_config::{CheckedDocument, Document, DocumentFinding, DocumentWarning};
use carawayseam_node::{CurrentDocument, current_document_key};
use carawayseam_rollout::PlannedSteps;
use carawayseam_types::{Difference, EnvironmentId, Revision};
use compact_str::format_compact;
use serde::Serialize;

use crate::commands::{Done, Summary, read_file};
use crate::error::CliError;
use crate::flags::ActiveVersion;
use crate::store::Store;

/// A comparison with the active version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "with")]
pub enum Comparison {
    /// The store has no version of the environment.
    NoActiveVersion,
    /// A file was given as the active version.
    File {
        /// What the checked document changes.
        difference: Difference,
    },
    /// The store has an active version.
    Revision {
        /// Its revision.
        revision: Revision,
        /// What the checked document changes.
        difference: Difference,
    },
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoActiveVersion => write!(f, "the store has no active version"),
            Self::File { difference } => write!(f, "changes: {difference}"),
            Self::Revision { revision, difference } => {
                write!(f, "changes from revision {revision}: {difference}")
            }
        }
    }
}

/// Checks the document in `file`.
///
/// Neither the store nor another file is read for a document with errors, which cannot be compared.
pub(crate) async fn run(file: &Path, strict: bool, active: Option<ActiveVersion>) -> Result<Done, CliError> {
    let text = read_file(file)?;
    let name = file.to_string_lossy();
    let mut checked = CheckedDocument::from_yaml(&name, &text);
    let Some(document) = checked.document.take() else {
        return Err(CliError::Findings {
            findings: checked.findings,
            comparison: None,
        });
    };
    warn_of_short_rollouts(&document, &mut checked);
    let findings = checked.findings;
    let comparison = match active {
        Some(active) => Some(compare(&document, active).await?),
        None => None,
    };
    if findings.iter().any(|finding| finding.forbids_sending(strict)) {
        return Err(CliError::Findings { findings, comparison });
    }
    Ok(Done::Valid {
        summary: Summary::of(file, &document),
        findings,
        comparison,
    })
}

/// Warns of rollouts whose time is too short for their steps.
fn warn_of_short_rollouts(document: &Document, checked: &mut CheckedDocument<'_>) {
    for (at, rollout) in document.moves.iter().enumerate() {
        let planned = PlannedSteps::of(rollout);
        if planned.is_too_short() {
            let warning = DocumentWarning::ShortRollout {
                within: rollout.within,
                steps: planned.steps,
                step_time: planned.step_time,
                report_interval: planned.report_interval,
            };
            checked.warn(&format_compact!("moves[{at}].within"), warning);
        }
    }
}

async fn compare(document: &Document, active: ActiveVersion) -> Result<Comparison, CliError> {
    match active {
        ActiveVersion::File { against } => {
            let active = Document::from_yaml(&against.to_string_lossy(), &read_file(&against)?)?;
            Ok(Comparison::File {
                difference: Difference::between(&active, document),
            })
        }
        ActiveVersion::Store { store } => {
            let store = Store::new(&store.url, store.retry())?;
            let active = read_active(&store, &document.environment).await?;
            Ok(active.map_or(Comparison::NoActiveVersion, |(revision, active)| {
                Comparison::Revision {
                    revision,
                    difference: Difference::between(&active, document),
                }
            }))
        }
    }
}

/// Reads the active version of an environment; `None` if it has none.
pub(crate) async fn read_active(
    store: &Store,
    environment: &EnvironmentId,
) -> Result<Option<(Revision, Document)>, CliError> {
    let key = current_document_key(environment);
    let Some(entry) = store.get(&key).await? else {
        return Ok(None);
    };
    let current: CurrentDocument =
        serde_json::from_str(&entry.value).map_err(|source| CliError::Corrupt { key, source })?;
    let document = Document::from_yaml(&entry.key, &current.yaml)?;
    Ok(Some((current.revision, document)))
}

/// Returns the findings, each on a line of its own.
pub(crate) fn lines(findings: &[DocumentFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
