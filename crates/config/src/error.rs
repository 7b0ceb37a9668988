//! Errors in a document, with file, line and field.

use compact_str::CompactString;
use serde::Serialize;

/// The first problem of a document that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{file}:{line}: {field}: {problem}")]
pub struct DocumentError {
    /// The file name as the operator passed it.
    pub file: CompactString,
    /// The line number, starting at 1; 0 if unknown.
    pub line: u64,
    /// The field's path, such as `engines[2].version`.
    pub field: CompactString,
    /// The problem.
    pub problem: DocumentProblem,
}

/// A problem of a field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display, derive_more::Error)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum DocumentProblem {
    /// The YAML cannot be parsed as a document.
    #[display("{message}")]
    Shape {
        /// The parser's message.
        message: String,
    },
    /// A name is used but not declared.
    #[display("`{name}` is not declared under `{declared_under}`")]
    Undeclared {
        /// The name.
        name: CompactString,
        /// The list that should declare it.
        declared_under: &'static str,
    },
    /// A name is declared twice in one list.
    #[display("`{name}` is declared twice")]
    Duplicate {
        /// The name.
        name: CompactString,
    },
    /// A list is empty.
    #[display("expected at least one entry")]
    Empty,
    /// A value is out of range.
    #[display("expected {expected}, found {found}")]
    OutOfRange {
        /// The allowed range.
        expected: &'static str,
        /// The value.
        found: CompactString,
    },
    /// A rollout refers to a version that no engine runs.
    #[display("no engine of `{backend}` is declared with version `{version}`")]
    NoEngineForVersion {
        /// The model or service.
        backend: CompactString,
        /// The version.
        version: CompactString,
    },
    /// A backend has more than one rollout.
    #[display("`{backend}` has another move already")]
    SecondRollout {
        /// The model or service.
        backend: CompactString,
    },
    /// The route of a model is not idempotent.
    #[display("calls to model `{backend}` are idempotent; only plain services may have routes that are not")]
    UnrepeatableModel {
        /// The model.
        backend: CompactString,
    },
}
