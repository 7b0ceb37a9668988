//! Reads the responses of backend servers.

use bytes::{Bytes, BytesMut};
use carawayseam_dispatch::AttemptEnd;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::events::{CompleteEvents, EventSplitter, OutOfOrder};
use super::exchange::Exchange;
use super::plain::MAX_RESPONSE_BYTES;
use crate::request_log;
use crate::shared::Assignment;

/// Why no further events can be read.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(super) enum ReadError {
    #[display("the connection broke: {_0}")]
    Lost(hyper::Error),
    #[display("the stream ended before an event was complete")]
    Incomplete,
    #[display("an event or a response exceeds the size limit")]
    Overlong,
    OutOfOrder(OutOfOrder),
}

/// Reads until complete events arrive, and returns `None` at the end of the stream; `received` was read already.
///
/// A stream that may not end yet is incomplete if it does.
pub(super) async fn read_events(
    received: &mut BytesMut,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    may_end: bool,
) -> Result<Option<CompleteEvents>, ReadError> {
    if let Some(events) = splitter.push(&received.split())? {
        return Ok(Some(events));
    }
    read_more_events(body, splitter, may_end, |_| {}).await
}

/// Reads until complete events arrive, and returns `None` at the end of the stream; `received` collects the bytes.
pub(super) async fn peek_events(
    received: &mut BytesMut,
    body: &mut Incoming,
    mut splitter: EventSplitter,
    may_end: bool,
) -> Result<Option<CompleteEvents>, ReadError> {
    read_more_events(body, &mut splitter, may_end, |bytes| {
        received.extend_from_slice(bytes);
    })
    .await
}

/// Reads a plain response to its end; `received` collects the bytes.
pub(super) async fn peek_response(received: &mut BytesMut, body: &mut Incoming) -> Result<(), ReadError> {
    while let Some(frame) = body.frame().await {
        if let Some(bytes) = frame?.data_ref() {
            received.extend_from_slice(bytes);
        }
        if received.len() > MAX_RESPONSE_BYTES {
            return Err(ReadError::Overlong);
        }
    }
    Ok(())
}

async fn read_more_events(
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    may_end: bool,
    mut keep: impl FnMut(&Bytes),
) -> Result<Option<CompleteEvents>, ReadError> {
    loop {
        let frame = match body.frame().await {
            Some(frame) => frame?,
            None if splitter.has_partial() || !may_end => return Err(ReadError::Incomplete),
            None => return Ok(None),
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        keep(bytes);
        match splitter.push(bytes)? {
            Some(events) => return Ok(Some(events)),
            None if splitter.is_overlong() => return Err(ReadError::Overlong),
            None => {}
        }
    }
}

/// Records why a server's response was interrupted, and returns how the attempt ends.
pub(super) fn record_read_error(exchange: &Exchange, assignment: &Assignment, e: &ReadError) -> AttemptEnd {
    let engine = &assignment.engine;
    let part = if exchange.route_match.route.kind.is_stream() {
        "stream"
    } else {
        "body"
    };
    match e {
        ReadError::Lost(e) => request_log::record_lost_connection(exchange, engine, part, e),
        ReadError::Incomplete => {}
        ReadError::Overlong => {
            log::debug!(engine:% = engine; "an event or a response exceeds the size limit");
        }
        ReadError::OutOfOrder(problem) => {
            request_log::record_not_continued(exchange, engine, problem);
            return AttemptEnd::Failed;
        }
    }
    AttemptEnd::ConnectionLost
}
