//! Moves a request from a silent server to another one.
//!
//! The silent server keeps the request until the response of the other one has begun to continue it, or until the
//! request has been at both for [`MAX_OVERLAP`]. If the other server fails before, the request stays where it was.

use std::pin::{Pin, pin};

use carawayseam_dispatch::AttemptEnd;
use carawayseam_types::{EngineId, Millis};
use tokio::time::{Sleep, sleep};

use super::attempt::{self, Failure, SentRequest, ServerResponse};
use super::events::MAX_EVENT_BYTES;
use super::exchange::{Exchange, Placement};
use super::plain::MAX_RESPONSE_BYTES;
use super::reading::{ReadError, peek_events, record_read_error};
use super::resumption::Continuation;
use super::silence::Search;
use crate::http_client::{Connection, ends_with_connection};
use crate::request_log;
use crate::shared::lock;

/// How long a request may be at two servers; after 400 ms it would count as run twice.
const MAX_OVERLAP: Millis = Millis(250);

/// A request that was sent to another server while a silent one had it.
#[derive(Debug)]
pub(super) enum MovedRequest {
    /// The head of the response is outstanding.
    Sent(SentRequest),
    /// The head of the response has been received, and continues the request.
    Answered(ServerResponse),
}

impl MovedRequest {
    /// Returns when the request was sent to the other server.
    pub(super) const fn assigned_at(&self) -> Millis {
        match self {
            Self::Sent(sent) => sent.assigned_at,
            Self::Answered(server_response) => server_response.assigned_at,
        }
    }
}

/// What happened first while a request was at two servers.
enum Overlap<T, U> {
    /// The silent server sent something, or failed.
    First(T),
    /// The other server sent something, or failed.
    Second(U),
    /// The request may not be at both servers any longer.
    Over,
}

impl Exchange {
    /// Sends the request on `connection` to the server of a placement, while a silent server has it.
    ///
    /// `event` is what the silent server is to send.
    pub(super) async fn move_to<T, E>(
        &mut self,
        placement: Placement,
        connection: Connection,
        continuation: &Continuation,
        event: Pin<&mut impl Future<Output = Result<T, E>>>,
    ) -> Search<T, E> {
        let response = match attempt::start(self, connection, &placement.assignment, continuation) {
            Ok(response) => response,
            Err(failure) => {
                attempt::end_failed(self, placement.slot, &placement.assignment, failure);
                lock(&self.shared.dispatch).dispatcher.return_retry(&self.backend);
                return Search::NotFound;
            }
        };
        let first_assigned_at = self.assigned_at;
        let Placement { slot, assignment } = self.begin_attempt(placement);
        let sent = SentRequest {
            slot,
            assignment,
            assigned_at: self.assigned_at,
            response,
        };
        let search = self.overlap(sent, continuation, event).await;
        self.assigned_at = first_assigned_at;
        search
    }

    /// Waits until either server continues the request, both have had it for too long, or one fails.
    async fn overlap<T, E>(
        &mut self,
        mut sent: SentRequest,
        continuation: &Continuation,
        mut event: Pin<&mut impl Future<Output = Result<T, E>>>,
    ) -> Search<T, E> {
        let mut end = pin!(sleep(MAX_OVERLAP.min(self.time_left()).to_duration()));
        let received = match overlap(event.as_mut(), end.as_mut(), sent.response.as_mut()).await {
            Overlap::First(Ok(value)) => return self.keep_first(&sent.assignment.engine, value),
            Overlap::First(Err(e)) => return Search::Moved(Some(e), Box::new(MovedRequest::Sent(sent))),
            Overlap::Over => return Search::Moved(None, Box::new(MovedRequest::Sent(sent))),
            Overlap::Second(received) => received,
        };
        let SentRequest { slot, assignment, .. } = sent;
        let engine = assignment.engine.clone();
        let checked = match received {
            Ok((response, connection)) => {
                attempt::check_response(self, response, connection, slot, assignment)
            }
            Err(e) => {
                let failure = attempt::record_send_error(self, &assignment, &e);
                Err(attempt::end_failed(self, slot, &assignment, failure))
            }
        };
        let mut answered = match checked {
            Ok(answered) => answered,
            Err(failure) => return self.stay(&engine, failure),
        };
        let begun = Box::pin(begin_response(self, &mut answered, continuation));
        match overlap(event, end, begun).await {
            Overlap::First(Ok(value)) => self.keep_first(&engine, value),
            Overlap::First(Err(e)) => Search::Moved(Some(e), Box::new(MovedRequest::Answered(answered))),
            Overlap::Over | Overlap::Second(Ok(())) => {
                Search::Moved(None, Box::new(MovedRequest::Answered(answered)))
            }
            Overlap::Second(Err(failure)) => {
                attempt::end_failed(self, answered.slot, &answered.assignment, failure);
                self.stay(&engine, failure)
            }
        }
    }

    /// Drops the request's other attempt, because the silent server has sent something.
    fn keep_first<T, E>(&self, other: &EngineId, value: T) -> Search<T, E> {
        self.shared.metrics.count("repeats", "withdrawn");
        log::info!(request = self.head.id.as_deref(), engine:% = other; "attempt withdrawn because the silent backend server continued");
        Search::Ready(Ok(value))
    }

    /// Leaves the request at the silent server, because the attempt at the other one failed.
    fn stay<T, E>(&mut self, other: &EngineId, failure: Failure) -> Search<T, E> {
        self.uncount_unsent(failure);
        if failure.is_unsent() {
            lock(&self.shared.dispatch).dispatcher.return_retry(&self.backend);
        }
        request_log::record_attempt_failure(self, other, failure);
        Search::NotFound
    }
}

/// Waits for the first of the three.
async fn overlap<T, U>(
    first: Pin<&mut impl Future<Output = T>>,
    end: Pin<&mut Sleep>,
    second: impl Future<Output = U>,
) -> Overlap<T, U> {
    tokio::select! {
        biased;
        value = first => Overlap::First(value),
        value = second => Overlap::Second(value),
        () = end => Overlap::Over,
    }
}

/// Waits until a stream has begun to continue the request, or until a plain response is complete; what is read is kept
/// in the response.
async fn begin_response(
    exchange: &Exchange,
    server_response: &mut ServerResponse,
    continuation: &Continuation,
) -> Result<(), Failure> {
    let ServerResponse {
        response,
        connection,
        assignment,
        received,
        ..
    } = server_response;
    if let Err(problem) = continuation.check(response) {
        request_log::record_not_continued(exchange, &assignment.engine, &problem);
        return Err(Failure::MaybeRun(AttemptEnd::Failed));
    }
    if response.status().is_server_error() {
        return Err(Failure::MaybeRun(AttemptEnd::Failed));
    }
    let memory = &exchange.shared.body_memory;
    let room_by = exchange.room_by();
    let begun = if exchange.is_stream(response.status()) {
        connection.set_read_limit(MAX_EVENT_BYTES.saturating_mul(2));
        let may_end = !ends_with_connection(response);
        let splitter = continuation.splitter();
        let events = peek_events(memory, received, response.body_mut(), splitter, may_end, room_by);
        events.await.map(drop)
    } else {
        connection.set_read_limit(MAX_RESPONSE_BYTES.saturating_mul(2));
        let reading = received.read_to_end(memory, response.body_mut(), MAX_RESPONSE_BYTES, room_by);
        reading.await.map_err(ReadError::from)
    };
    begun.map_err(|e| Failure::MaybeRun(record_read_error(exchange, assignment, &e)))
}
