//! Reads the responses of backend servers.

use bytes::Bytes;
use carawayseam_dispatch::AttemptEnd;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::events::{CompleteEvents, EventSplitter, MAX_EVENT_BYTES, OutOfOrder};
use super::exchange::Exchange;
use crate::body_memory::{BodyBuf, BodyMemory, BodyReadError, SMALL_BODY_BYTES};
use crate::request_log;
use crate::shared::Assignment;

/// Why no more of a response can be read.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(super) enum ReadError {
    Body(BodyReadError),
    #[display("the stream ended before an event was complete")]
    Incomplete,
    OutOfOrder(OutOfOrder),
}

/// Reads until complete events arrive, and returns `None` at the end of the stream; `received` was read already.
///
/// A stream that may not end yet is incomplete if it does. A large event waits for room until `room_by`.
pub(super) async fn read_events(
    memory: &BodyMemory,
    received: &mut BodyBuf,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    may_end: bool,
    room_by: Instant,
) -> Result<Option<CompleteEvents>, ReadError> {
    if let Some(events) = splitter.push(&received.split())? {
        return Ok(Some(events));
    }
    read_more_events(memory, body, splitter, may_end, room_by, |_| {}).await
}

/// Reads until complete events arrive, and returns `None` at the end of the stream; `received` collects the bytes.
pub(super) async fn peek_events(
    memory: &BodyMemory,
    received: &mut BodyBuf,
    body: &mut Incoming,
    mut splitter: EventSplitter,
    may_end: bool,
    room_by: Instant,
) -> Result<Option<CompleteEvents>, ReadError> {
    read_more_events(memory, body, &mut splitter, may_end, room_by, |bytes| {
        received.push(bytes);
    })
    .await
}

async fn read_more_events(
    memory: &BodyMemory,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    may_end: bool,
    room_by: Instant,
    mut keep: impl FnMut(&Bytes),
) -> Result<Option<CompleteEvents>, ReadError> {
    let mut room = None;
    loop {
        if room.is_none() && splitter.partial_bytes() > SMALL_BODY_BYTES {
            room = Some(memory.reserve(MAX_EVENT_BYTES, room_by).await?);
        }
        let frame = match body.frame().await {
            Some(frame) => frame.map_err(BodyReadError::from)?,
            None if splitter.partial_bytes() > 0 || !may_end => return Err(ReadError::Incomplete),
            None => return Ok(None),
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        keep(bytes);
        match splitter.push(bytes)? {
            Some(events) => return Ok(Some(events)),
            None if splitter.is_overlong() => return Err(BodyReadError::Overlong.into()),
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
        ReadError::Body(BodyReadError::Lost(e)) => {
            request_log::record_lost_connection(exchange, engine, part, e);
        }
        ReadError::Body(BodyReadError::Overlong) => {
            log::warn!(engine:% = engine; "an event or a response exceeds the size limit");
        }
        // The server may be sound; other bodies hold the memory.
        ReadError::Body(BodyReadError::NoRoom) => return AttemptEnd::Cancelled,
        ReadError::Incomplete => {}
        ReadError::OutOfOrder(problem) => {
            request_log::record_not_continued(exchange, engine, problem);
            return AttemptEnd::Failed;
        }
    }
    AttemptEnd::ConnectionLost
}
