//! The bench's error.

use carawayseam_config::DocumentError;
use carawayseam_types::ParseError;
use carawayseam_wire::WireError;

/// Why the bench could not run.
#[derive(Debug, derive_more::Display, derive_more::From, derive_more::Error)]
pub enum BenchError {
    /// A firm's document is not valid.
    #[display("{_0}")]
    Document(DocumentError),
    /// A name is not valid.
    #[display("{_0}")]
    Name(ParseError),
    /// A message cannot be encoded.
    #[display("{_0}")]
    Wire(WireError),
    /// The report cannot be written as JSON.
    #[display("the report cannot be written: {_0}")]
    Json(serde_json::Error),
}
