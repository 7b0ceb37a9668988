//! Errors of calls to external systems, by whether the request may have taken effect.

use carawayseam_types::ParseError;

/// The error of a call that returned no usable response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// No connection could be established, so no byte of the request was sent.
    #[display("could not connect")]
    NotSent(#[error(source)] reqwest::Error),
    /// No complete response arrived; the request may have been received and executed.
    #[display("no complete response received")]
    ResponseLost(#[error(source)] reqwest::Error),
    /// The response has a status other than success.
    #[display("status {status}")]
    #[error(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The body of the response cannot be parsed.
    #[display("malformed response body")]
    MalformedResponse(#[error(source)] serde_json::Error),
    /// An id in the response is malformed.
    #[display("malformed id in the response")]
    MalformedId(#[error(source)] ParseError),
}

impl CallError {
    /// Converts an error of the HTTP library, by whether the request may have been sent.
    pub(crate) fn from_http(error: reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            Self::NotSent(error)
        } else {
            Self::ResponseLost(error)
        }
    }

    /// Returns whether the request was certainly not sent, so it cannot have taken effect.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}
