//! Forwards a stream of events, and resumes it on another server if one is interrupted.

use std::sync::Arc;

use bytes::Bytes;
use carawayseam_dispatch::AttemptEnd;
use carawayseam_types::Millis;
use futures_util::stream::{StreamExt, iter, unfold};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;

use super::attempt::{Failure, ServerResponse, keep_alive_timeout, remove_hop_headers};
use super::events::{CompleteEvents, EventSplitter, MAX_EVENT_BYTES};
use super::exchange::Exchange;
use super::moves::MovedRequest;
use super::reading::{read_events, record_read_error};
use super::reservation::Slot;
use super::response::{BodyError, Reason, Refusal, ResponseBody};
use super::resumption::{Continuation, StreamHead};
use super::silence::{Awaited, Patience};
use super::waiting::instant_after;
use crate::body_memory::BodyBuf;
use crate::http_client::{Connection, ends_with_connection};
use crate::request_log::{self, StopOutcome, StreamSummary};
use crate::shared::{Assignment, lock};
use crate::stopping::Phase;

/// The number of events over which the mean time between events is sampled.
const EVENTS_PER_SAMPLE: u32 = 12;

/// The number of events from which an answer has begun: a server that crashes at the first event may still send
/// it.
pub(super) const EVENTS_OF_BEGUN_ANSWER: u32 = 2;

/// The reason why a stream is interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
enum Interrupted {
    #[display("the backend server's stream was interrupted")]
    Lost,
    #[display("the deadline has passed")]
    DeadlineExceeded,
    #[display("the host is stopping")]
    Stopping,
}

/// A backend server's stream that is being forwarded.
struct EngineStream {
    /// The bytes that were read already.
    received: BodyBuf,
    body: Incoming,
    connection: Connection,
    slot: Slot,
    assignment: Assignment,
    keep_alive_timeout: Option<Millis>,
    /// Whether the end of the stream is that of its connection.
    ends_with_connection: bool,
    /// The number of all events from this server.
    received_events: u32,
    /// When so many events had been received that the server has begun to answer.
    begun_at: Option<Millis>,
    /// The number of events since the last sample, taken at `sampled_at`.
    events: u32,
    sampled_at: Millis,
}

impl EngineStream {
    fn new(server_response: ServerResponse, keep_alive_timeout: Option<Millis>, now: Millis) -> Self {
        Self {
            ends_with_connection: ends_with_connection(&server_response.response),
            received: server_response.received,
            body: server_response.response.into_body(),
            connection: server_response.connection,
            slot: server_response.slot,
            assignment: server_response.assignment,
            keep_alive_timeout,
            received_events: 0,
            begun_at: None,
            events: 0,
            sampled_at: now,
        }
    }

    /// Returns whether the stream would end with its connection before its first event.
    const fn is_unbegun(&self) -> bool {
        self.ends_with_connection && self.received_events == 0
    }

    /// Reads until complete events arrive, the stream ends, or it is interrupted.
    ///
    /// Only a complete event resets the timeout, so a server that sends single bytes counts as stalled.
    async fn read(
        &mut self,
        exchange: &mut Exchange,
        head: &StreamHead,
        splitter: &mut EventSplitter,
    ) -> ReadResult {
        self.connection.set_read_limit(MAX_EVENT_BYTES.saturating_mul(2));
        let patience = Patience::new(
            exchange.silence_limit(self.expected_gap()),
            can_continue(exchange, splitter) && exchange.has_attempt(),
        );
        let continuation = Continuation::after(head, splitter);
        let may_end = !self.is_unbegun();
        let shared = Arc::clone(&exchange.shared);
        let memory = &shared.body_memory;
        // A server is not to be taken for silent because this host has no room.
        let room_by = instant_after(patience.limit);
        let (received, body) = (&mut self.received, &mut self.body);
        let events = read_events(memory, received, body, splitter, may_end, room_by);
        let awaited = exchange
            .await_server(&self.assignment, patience, &continuation, events)
            .await;
        match awaited {
            Awaited::Ready(Ok(Some(events))) => ReadResult::Events(events),
            Awaited::Ready(Ok(None)) => ReadResult::End,
            Awaited::Ready(Err(e)) => {
                ReadResult::Interrupted(record_read_error(exchange, &self.assignment, &e))
            }
            Awaited::Moved(e, moved) => {
                let end = e.map_or(AttemptEnd::Unresponsive, |e| {
                    record_read_error(exchange, &self.assignment, &e)
                });
                ReadResult::Moved(end, moved)
            }
            Awaited::DeadlineExceeded => ReadResult::DeadlineExceeded,
        }
    }

    /// Returns the expected time until the next event.
    const fn expected_gap(&self) -> Millis {
        if self.received_events > 0 {
            Millis(self.assignment.typical_event_ms as u64)
        } else {
            self.assignment.expected_first_event
        }
    }
}

/// The stream to a caller, made of one or more backend servers' streams.
struct CallerStream {
    exchange: Exchange,
    head: StreamHead,
    engine_stream: Option<EngineStream>,
    splitter: EventSplitter,
    first_event_at: Option<Millis>,
    longest_gap: Millis,
    resumed: u32,
}

/// The result of reading from a server's stream.
enum ReadResult {
    Events(CompleteEvents),
    End,
    Interrupted(AttemptEnd),
    /// The request is at another server, and this one's attempt ends this way.
    Moved(AttemptEnd, Box<MovedRequest>),
    DeadlineExceeded,
}

/// Returns a response with the server's head that forwards its events as they arrive.
///
/// During a planned shutdown the head is sent with the first event, so that a stream without any can still be refused.
pub(crate) async fn respond(exchange: Exchange, server_response: ServerResponse) -> Response<ResponseBody> {
    let is_stopping = exchange.shared.phase() != Phase::Serving;
    let mut response = Response::new(());
    *response.status_mut() = server_response.response.status();
    *response.headers_mut() = server_response.response.headers().clone();
    let keep_alive = keep_alive_timeout(response.headers());
    remove_hop_headers(response.headers_mut());
    response.headers_mut().remove(CONTENT_LENGTH);
    let now = exchange.shared.now();
    let mut caller_stream = CallerStream {
        head: StreamHead::new(&server_response.response),
        engine_stream: Some(EngineStream::new(server_response, keep_alive, now)),
        splitter: EventSplitter::after(exchange.head.last_event_id),
        exchange,
        first_event_at: None,
        longest_gap: Millis::ZERO,
        resumed: 0,
    };
    let mut first = None;
    if is_stopping {
        let shared = Arc::clone(&caller_stream.exchange.shared);
        first = tokio::select! {
            biased;
            () = shared.reached(Phase::Answering) => return caller_stream.exchange.refuse_at_end(),
            first = caller_stream.next() => first,
        };
        if let Some(Err(e)) = &first {
            return Refusal::new(refusal_reason(e)).response();
        }
    }
    let rest = unfold(caller_stream, |mut caller_stream| async move {
        let item = caller_stream.next_before_end().await?;
        Some((item, caller_stream))
    });
    response.map(|()| StreamBody::new(iter(first).chain(rest)).boxed_unsync())
}

/// Returns why a stream is refused that was interrupted before its head was sent.
fn refusal_reason(e: &BodyError) -> Reason {
    match e.downcast_ref() {
        Some(Interrupted::DeadlineExceeded) => Reason::DeadlineExceeded,
        _ => Reason::ResponseLost,
    }
}

impl CallerStream {
    /// Returns the next frame for the caller, or breaks the stream off at the end of a planned shutdown.
    async fn next_before_end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        let shared = Arc::clone(&self.exchange.shared);
        tokio::select! {
            biased;
            next = self.next() => next,
            () = shared.reached(Phase::BreakingOff) => {
                StopOutcome::BrokenOff.count(&shared);
                Some(Err(self.abort(AttemptEnd::Cancelled, Interrupted::Stopping)))
            }
        }
    }

    /// Returns the next frame for the caller; not called again after an error.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            let engine_stream = self.engine_stream.as_mut()?;
            match engine_stream
                .read(&mut self.exchange, &self.head, &mut self.splitter)
                .await
            {
                ReadResult::Events(events) => {
                    self.record_events(events.count);
                    return Some(Ok(Frame::data(events.bytes)));
                }
                ReadResult::End => {
                    self.finish();
                    return None;
                }
                ReadResult::DeadlineExceeded => {
                    return Some(Err(
                        self.abort(AttemptEnd::Cancelled, Interrupted::DeadlineExceeded)
                    ));
                }
                ReadResult::Interrupted(end) => {
                    self.leave_server(end);
                    if let Err(cause) = self.resume(None).await {
                        return Some(Err(self.abort(end, cause)));
                    }
                }
                ReadResult::Moved(end, moved) => {
                    self.leave_server(end);
                    if let Err(cause) = self.resume(Some(*moved)).await {
                        return Some(Err(self.abort(end, cause)));
                    }
                }
            }
        }
    }

    /// Closes the connection to a server whose stream was interrupted.
    fn leave_server(&mut self, end: AttemptEnd) {
        let Some(engine_stream) = self.engine_stream.take() else {
            return;
        };
        let failure = Failure::MaybeRun(end);
        request_log::record_attempt_failure(&self.exchange, &engine_stream.assignment.engine, failure);
        let EngineStream {
            slot,
            assignment,
            received_events,
            ..
        } = engine_stream;
        if failure.may_come_from_link() {
            self.exchange.close_idle_connections(&assignment);
        }
        match end {
            AttemptEnd::ConnectionLost => self.exchange.end_lost(slot, &assignment, received_events),
            end => slot.end(end),
        }
    }

    fn summary(&self, outcome: &'static str) -> StreamSummary {
        StreamSummary {
            outcome,
            events: self.exchange.events,
            first_event_at: self.first_event_at,
            longest_gap: self.longest_gap,
            resumed: self.resumed,
        }
    }

    fn record_events(&mut self, count: u32) {
        let now = self.exchange.shared.now();
        self.exchange.events += count;
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let waited = now.since(self.exchange.arrived);
            let metrics = &self.exchange.shared.metrics;
            metrics.record_time("first_event", self.exchange.tier(), waited);
        } else {
            self.longest_gap = self.longest_gap.max(now.since(self.exchange.last_event_at));
        }
        self.exchange.last_event_at = now;
        let Some(engine_stream) = &mut self.engine_stream else {
            return;
        };
        let is_first_event = engine_stream.received_events == 0;
        engine_stream.received_events += count;
        if engine_stream.begun_at.is_none() && engine_stream.received_events >= EVENTS_OF_BEGUN_ANSWER {
            engine_stream.begun_at = Some(now);
            self.exchange.record_begun();
        }
        engine_stream.slot.record_events(count);
        if is_first_event {
            engine_stream.sampled_at = now;
            engine_stream.slot.record_first_event();
            return;
        }
        engine_stream.events += count;
        if engine_stream.events >= EVENTS_PER_SAMPLE {
            record_sample(&self.exchange, engine_stream, now);
        }
    }

    /// Records the regular end of the stream.
    fn finish(&mut self) {
        let Some(mut engine_stream) = self.engine_stream.take() else {
            return;
        };
        let now = self.exchange.shared.now();
        if engine_stream.events > 0 {
            record_sample(&self.exchange, &mut engine_stream, now);
        }
        request_log::record_stream(
            &self.exchange,
            Some(&engine_stream.assignment),
            &self.summary("complete"),
        );
        self.exchange.record_complete(engine_stream.begun_at);
        engine_stream.slot.end(AttemptEnd::Complete);
        self.exchange.return_connection(
            &engine_stream.assignment,
            engine_stream.connection,
            engine_stream.keep_alive_timeout,
        );
    }

    /// Resumes the stream on another server after the last complete event.
    ///
    /// `moved` is the request at the other server, if it was sent there already.
    async fn resume(&mut self, moved: Option<MovedRequest>) -> Result<(), Interrupted> {
        if !can_continue(&self.exchange, &self.splitter) {
            return Err(Interrupted::Lost);
        }
        let exchange = &mut self.exchange;
        let continuation = Continuation::after(&self.head, &self.splitter);
        self.splitter = continuation.splitter();
        let mut failure = Failure::MaybeRun(AttemptEnd::ConnectionLost);
        let mut sent = match moved {
            Some(moved) => Some(exchange.finish_move(moved, &continuation).await),
            None => None,
        };
        loop {
            match sent {
                Some(Ok(server_response)) => match continuation.check(&server_response.response) {
                    Ok(()) => {
                        self.resumed += 1;
                        let keep_alive = keep_alive_timeout(server_response.response.headers());
                        let now = exchange.shared.now();
                        self.engine_stream = Some(EngineStream::new(server_response, keep_alive, now));
                        return Ok(());
                    }
                    Err(problem) => {
                        let engine = &server_response.assignment.engine;
                        request_log::record_not_continued(exchange, engine, &problem);
                        failure = Failure::MaybeRun(AttemptEnd::Failed);
                        request_log::record_attempt_failure(exchange, engine, failure);
                        server_response.slot.end(AttemptEnd::Failed);
                    }
                },
                Some(Err(next)) => failure = next,
                None => {}
            }
            let queued = exchange.requeue(failure).map_err(|_refusal| Interrupted::Lost)?;
            let attempt = exchange.attempt(queued, &continuation).await;
            sent = Some(attempt.map_err(|_refusal| Interrupted::Lost)?);
        }
    }

    /// Returns the error that ends the caller's stream, so that it does not appear complete.
    fn abort(&mut self, end: AttemptEnd, cause: Interrupted) -> BodyError {
        let outcome = match cause {
            Interrupted::Lost | Interrupted::Stopping => "broken off",
            Interrupted::DeadlineExceeded => "time over",
        };
        let summary = self.summary(outcome);
        let engine_stream = self.engine_stream.take();
        let assignment = engine_stream
            .as_ref()
            .map(|engine_stream| &engine_stream.assignment);
        request_log::record_stream(&self.exchange, assignment, &summary);
        if let Some(engine_stream) = engine_stream {
            engine_stream.slot.end(end);
        }
        cause.into()
    }
}

/// Returns whether another server can continue the stream.
///
/// Without the id of an event that was forwarded, a server would send that event once more.
fn can_continue(exchange: &Exchange, splitter: &EventSplitter) -> bool {
    let is_position_known = exchange.events == 0 || splitter.last_id() != exchange.head.last_event_id;
    exchange.route_match.route.kind.is_retryable() && is_position_known
}

fn record_sample(exchange: &Exchange, engine_stream: &mut EngineStream, now: Millis) {
    let mean = now.since(engine_stream.sampled_at).0 as f64 / f64::from(engine_stream.events);
    let ticket = engine_stream.slot.ticket();
    lock(&exchange.shared.dispatch)
        .dispatcher
        .record_events(now, ticket, mean);
    engine_stream.events = 0;
    engine_stream.sampled_at = now;
}
