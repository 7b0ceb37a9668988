//! Errors of a document, with file, line and field.

use compact_str::CompactString;

/// A document that cannot be used, and where it is wrong.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{file}:{line}: {field}: {problem}")]
pub struct DocumentError {
    /// The file's name as the operator gave it.
    pub file: CompactString,
    /// The line, from 1; 0 where it is not known.
    pub line: u64,
    /// The field's path, such as `engines[2].version`.
    pub field: CompactString,
    /// What is wrong with it.
    pub problem: DocumentProblem,
}

/// What is wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum DocumentProblem {
    /// The YAML does not have the document's shape.
    #[display("{message}")]
    Shape {
        /// What the reader expected.
        message: String,
    },
    /// A name is used that the document does not declare.
    #[display("`{name}` is not declared under `{declared_under}`")]
    Undeclared {
        /// The name.
        name: CompactString,
        /// The list it should stand in.
        declared_under: &'static str,
    },
    /// A name stands twice in one list.
    #[display("`{name}` is declared twice")]
    Duplicate {
        /// The name.
        name: CompactString,
    },
    /// A list has nothing in it.
    #[display("expected at least one entry")]
    Empty,
    /// A number or time is outside its range.
    #[display("expected {expected}, found {found}")]
    OutOfRange {
        /// The range.
        expected: &'static str,
        /// The value.
        found: CompactString,
    },
    /// A move names a version that no engine runs.
    #[display("no engine of `{backend}` is declared with version `{version}`")]
    NoEngineForVersion {
        /// The model or service.
        backend: CompactString,
        /// The version.
        version: CompactString,
    },
    /// Two moves of one backend are declared.
    #[display("`{backend}` has another move already")]
    SecondMove {
        /// The model or service.
        backend: CompactString,
    },
    /// A route that may not be repeated leads to a model.
    #[display("calls to model `{backend}` are idempotent; only plain services may have routes that are not")]
    UnrepeatableModel {
        /// The model.
        backend: CompactString,
    },
}
