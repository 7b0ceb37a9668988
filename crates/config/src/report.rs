//! The findings of a check of a document's text.

use carawayseam_types::{Finding, Place, Severity};
use serde::Serialize;

use crate::check::parse;
use crate::lines::line_of;
use crate::warnings::{DocumentWarning, warnings};
use crate::{Document, DocumentError, DocumentProblem};

/// The reason of a finding on a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display, derive_more::From)]
#[serde(untagged)]
pub enum DocumentReason {
    /// The reason of an error.
    Problem(DocumentProblem),
    /// The reason of a warning.
    Warning(DocumentWarning),
}

/// A finding on a document.
pub type DocumentFinding = Finding<DocumentReason>;

/// A document's text with the document, if it is valid, and the findings.
#[derive(Debug, Clone)]
pub struct CheckedDocument<'a> {
    file: &'a str,
    text: &'a str,
    /// The document; `None` if it has errors.
    pub document: Option<Document>,
    /// The findings; a document with errors has no warnings, since these depend on valid names.
    pub findings: Vec<DocumentFinding>,
}

impl<'a> CheckedDocument<'a> {
    /// Parses and checks a document.
    #[must_use]
    pub fn from_yaml(file: &'a str, text: &'a str) -> Self {
        let (document, findings) = match parse(file, text) {
            Ok(document) => (Some(document), Vec::new()),
            Err(errors) => (None, errors.into_iter().map(DocumentFinding::from).collect()),
        };
        let mut checked = Self {
            file,
            text,
            document,
            findings,
        };
        for (field, warning) in checked.document.iter().flat_map(warnings).collect::<Vec<_>>() {
            checked.warn(&field, warning);
        }
        checked
    }

    /// Adds a warning about a field, such as `engines[2].version`.
    pub fn warn(&mut self, field: &str, warning: DocumentWarning) {
        self.findings.push(Finding {
            severity: Severity::Warning,
            place: Place {
                file: self.file.into(),
                line: line_of(self.text, field),
                field: field.into(),
            },
            reason: warning.into(),
        });
    }
}

impl From<DocumentError> for DocumentFinding {
    fn from(error: DocumentError) -> Self {
        Self {
            severity: Severity::Error,
            place: Place {
                file: error.file,
                line: (error.line > 0).then_some(error.line),
                field: error.field,
            },
            reason: error.problem.into(),
        }
    }
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the first problem in the order of the checks, with its line and field.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, DocumentError> {
        parse(file, text).map_err(|mut errors| errors.swap_remove(0))
    }
}
