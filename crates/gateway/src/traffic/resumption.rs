//! Checks that a server's response continues a stream that was interrupted at another server.

use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};

/// What the caller was told about the stream.
#[derive(Debug, Clone)]
pub(super) struct StreamHead {
    status: StatusCode,
    media_type: Option<String>,
}

/// Why a response does not continue a stream.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub(super) enum NotContinued {
    #[display("its status is {_0}")]
    Status(#[error(not(source))] StatusCode),
    #[display("it has another content type")]
    MediaType,
    #[display("it has no body")]
    NoBody,
}

impl StreamHead {
    /// Reads the head of the response whose events are forwarded first.
    pub(super) fn new(response: &Response<Incoming>) -> Self {
        Self {
            status: response.status(),
            media_type: media_type(response.headers()),
        }
    }

    /// Checks that a response continues the stream: as another success of another type it has other content,
    /// and without a body it would end the stream early.
    ///
    /// # Errors
    ///
    /// The first reason why it does not.
    pub(super) fn check(&self, response: &Response<Incoming>) -> Result<(), NotContinued> {
        match response.status() {
            status if status != self.status => Err(NotContinued::Status(status)),
            _ if media_type(response.headers()) != self.media_type => Err(NotContinued::MediaType),
            _ if response.body().is_end_stream() => Err(NotContinued::NoBody),
            _ => Ok(()),
        }
    }
}

/// Returns the content type without its parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase())
}
