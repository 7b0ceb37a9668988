//! Checks that a server's response continues a stream that was interrupted at another server.

use compact_str::CompactString;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};

use super::events::EventSplitter;

/// What the caller was told about the stream.
#[derive(Debug, Clone)]
pub(super) struct StreamHead {
    status: StatusCode,
    media_type: Option<CompactString>,
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
    fn check(&self, response: &Response<Incoming>) -> Result<(), NotContinued> {
        match response.status() {
            status if status != self.status => Err(NotContinued::Status(status)),
            _ if media_type(response.headers()) != self.media_type => Err(NotContinued::MediaType),
            _ if response.body().is_end_stream() => Err(NotContinued::NoBody),
            _ => Ok(()),
        }
    }
}

/// The point from which a server is to continue a request.
#[derive(Debug, Clone)]
pub(super) struct Continuation {
    /// What the caller was told about the stream, if it was told anything.
    head: Option<StreamHead>,
    /// Expects the events that follow.
    splitter: EventSplitter,
}

impl Continuation {
    /// Returns the start of a request whose caller has received the events up to an id before.
    pub(super) fn start(last_event_id: Option<u64>) -> Self {
        Self {
            head: None,
            splitter: EventSplitter::after(last_event_id),
        }
    }

    /// Returns the point after the complete events of a stream.
    pub(super) fn after(head: &StreamHead, splitter: &EventSplitter) -> Self {
        Self {
            head: Some(head.clone()),
            splitter: splitter.resumed(),
        }
    }

    /// Returns the id of the last event that the caller has received.
    pub(super) const fn last_event_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns a splitter for the events that follow.
    pub(super) fn splitter(&self) -> EventSplitter {
        self.splitter.clone()
    }

    /// Checks that a response continues the stream, if one has begun.
    ///
    /// # Errors
    ///
    /// The first reason why it does not.
    pub(super) fn check(&self, response: &Response<Incoming>) -> Result<(), NotContinued> {
        self.head.as_ref().map_or(Ok(()), |head| head.check(response))
    }
}

/// Returns the content type without its parameters.
fn media_type(headers: &HeaderMap) -> Option<CompactString> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase().into())
}
