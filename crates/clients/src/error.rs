//! What a failed call says about the request.

use carawayseam_types::ParseError;

/// A call that brought no usable answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// The connection could not be made, so no byte of the request left.
    #[display("the connection could not be made")]
    NotSent(#[error(source)] reqwest::Error),
    /// The request may have arrived and may have been carried out.
    #[display("no whole answer came")]
    ResponseLost(#[error(source)] reqwest::Error),
    /// The other side answered with a status that is no success.
    #[display("status {status}")]
    #[error(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer does not have the expected shape.
    #[display("the answer cannot be read")]
    MalformedResponse(#[error(source)] serde_json::Error),
    /// An id in the answer is malformed.
    #[display("the answer names a malformed id")]
    MalformedId(#[error(source)] ParseError),
}

impl CallError {
    /// Sorts an error of the HTTP library by what it says about the request.
    pub(crate) fn from_http(error: reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            Self::NotSent(error)
        } else {
            Self::ResponseLost(error)
        }
    }

    /// Whether it is certain that the other side did not act.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}
