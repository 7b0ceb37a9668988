//! Parses and checks the environment document that operators write.
//!
//! [`Document::from_yaml`] parses the YAML into a [`RawDocument`], checks it against the
//! rules and returns a typed [`Document`], which the rest of the system uses.
//! [`CheckedDocument::from_yaml`] returns all findings, also on valid documents.
//!
//! ```no_run
//! use carawayseam_config::Document;
//!
//! let text = std::fs::read_to_string("examples/ben-slama.yaml")?;
//! let document = Document::from_yaml("examples/ben-slama.yaml", &text)?;
//! println!("{} has {} engines", document.environment, document.engines.len());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod check;
mod document;
mod error;
mod lines;
mod raw;
mod report;
mod sections;
mod warnings;

pub use document::{
    Backend, BackendKind, Document, EngineSpec, Limits, OnNoEvidence, OrganisationSpec, RolloutSpec,
    RouteSpec,
};
pub use error::{DocumentError, DocumentProblem};
pub use raw::RawDocument;
pub use report::{CheckedDocument, DocumentFinding, DocumentReason};
pub use warnings::DocumentWarning;
