//! The environment document: what operators declare, checked before it is used.
//!
//! A document is read in two steps. YAML becomes a [`RawDocument`], and
//! [`Document::from_yaml`] checks that against the rules and gives a typed
//! [`Document`]; the rest of the system sees only that.
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
mod raw;

pub use document::{
    Backend, BackendKind, Document, EngineSpec, Limits, OnNoEvidence, OrganisationSpec, RolloutSpec,
    RouteSpec,
};
pub use error::{DocumentError, DocumentProblem};
pub use raw::RawDocument;
