//! Passes a stream of events on, and goes on at another server when one breaks off.

use bytes::Bytes;
use carawayseam_dispatch::AttemptEnd;
use carawayseam_types::Millis;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use tokio::time::timeout;

use super::answer::{AnswerBody, BodyError};
use super::attempt::{Answered, Failure, Slot, idle_limit, remove_hop_headers};
use super::events::{EventCutter, MOST_EVENT_BYTES, WholeEvents};
use super::exchange::Exchange;
use crate::http_client::Connection;
use crate::request_log::{self, StreamSummary};
use crate::shared::{Assignment, lock};

/// Events after which the time between them is learned.
const EVENTS_PER_SAMPLE: u32 = 12;
/// A pause between events after which a resumable stream goes on elsewhere.
const LONGEST_PAUSE: Millis = Millis(900);
/// The same before the first event, as a multiple of the expected time, with some more.
const FIRST_EXPECTED: u64 = 3;
const FIRST_EXTRA: Millis = Millis(800);

/// Why a stream ends before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
enum Broken {
    #[display("the backend server broke off")]
    Lost,
    #[display("the time is over")]
    TimeOver,
}

/// A server's stream while it is passed on.
struct Run {
    body: Incoming,
    connection: Connection,
    slot: Slot,
    assignment: Assignment,
    idle_limit: Option<Millis>,
    had_event: bool,
    /// Events since the last sample, and when it was taken.
    events: u32,
    sampled_at: Millis,
}

impl Run {
    fn new(answered: Answered, idle_limit: Option<Millis>, now: Millis) -> Self {
        Self {
            body: answered.response.into_body(),
            connection: answered.connection,
            slot: answered.slot,
            assignment: answered.assignment,
            idle_limit,
            had_event: false,
            events: 0,
            sampled_at: now,
        }
    }
}

/// A caller's stream.
struct Flow {
    exchange: Exchange,
    run: Option<Run>,
    cutter: EventCutter,
    first_event_at: Option<Millis>,
    last_event_at: Millis,
    longest_pause: Millis,
    resumed: u32,
}

/// What the server sent next.
enum Next {
    Events(WholeEvents),
    End,
    Broken(AttemptEnd),
    TimeOver,
}

/// Answers with the server's head, and its events as they come.
pub(crate) fn respond(exchange: Exchange, answered: Answered) -> Response<AnswerBody> {
    let mut response = Response::new(());
    *response.status_mut() = answered.response.status();
    *response.headers_mut() = answered.response.headers().clone();
    let limit = idle_limit(response.headers());
    remove_hop_headers(response.headers_mut());
    response.headers_mut().remove(CONTENT_LENGTH);
    let now = exchange.shared.now();
    let flow = Flow {
        run: Some(Run::new(answered, limit, now)),
        exchange,
        cutter: EventCutter::default(),
        first_event_at: None,
        last_event_at: now,
        longest_pause: Millis::ZERO,
        resumed: 0,
    };
    let frames = unfold(flow, |mut flow| async move {
        let item = flow.next().await?;
        Some((item, flow))
    });
    response.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl Flow {
    /// The next frame for the caller; after an error none is asked for.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            let run = self.run.as_mut()?;
            match read(&self.exchange, run, &mut self.cutter).await {
                Next::Events(events) => {
                    self.on_events(events.count);
                    return Some(Ok(Frame::data(events.bytes)));
                }
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::TimeOver => return Some(Err(self.break_off(AttemptEnd::Cancelled, Broken::TimeOver))),
                Next::Broken(end) => {
                    if let Some(run) = self.run.take() {
                        let failure = Failure::MaybeRun(end);
                        request_log::attempt_failed(&self.exchange, &run.assignment.engine, failure);
                        if end == AttemptEnd::Lost {
                            self.exchange.check_for_crash(&run.assignment);
                        }
                        run.slot.end(end);
                    }
                    self.cutter.drop_partial();
                    if let Err(broken) = self.resume().await {
                        return Some(Err(self.break_off(end, broken)));
                    }
                }
            }
        }
    }

    fn summary(&self, outcome: &'static str) -> StreamSummary {
        StreamSummary {
            outcome,
            events: self.exchange.events,
            first_event_at: self.first_event_at,
            longest_pause: self.longest_pause,
            resumed: self.resumed,
        }
    }

    fn on_events(&mut self, count: u32) {
        let now = self.exchange.shared.now();
        self.exchange.events += count;
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let waited = now.since(self.exchange.arrived);
            let metrics = &self.exchange.shared.metrics;
            metrics.record_time("first_event", self.exchange.tier(), waited);
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_event_at));
        }
        self.last_event_at = now;
        let Some(run) = &mut self.run else {
            return;
        };
        if !run.had_event {
            run.had_event = true;
            run.sampled_at = now;
            run.slot.first_event();
            return;
        }
        run.events += count;
        if run.events >= EVENTS_PER_SAMPLE {
            sample(&self.exchange, run, now);
        }
    }

    /// The stream ended as it should.
    fn finish(&mut self) {
        let Some(mut run) = self.run.take() else {
            return;
        };
        let now = self.exchange.shared.now();
        if run.events > 0 {
            sample(&self.exchange, &mut run, now);
        }
        request_log::stream_ended(&self.exchange, Some(&run.assignment), &self.summary("complete"));
        run.slot.end(AttemptEnd::Complete);
        self.exchange.clear_suspicion();
        self.exchange
            .keep(&run.assignment, run.connection, run.idle_limit);
    }

    /// Goes on after the last whole event at another server.
    async fn resume(&mut self) -> Result<(), Broken> {
        let exchange = &mut self.exchange;
        if !exchange.place.route.kind.may_repeat() {
            return Err(Broken::Lost);
        }
        let last_event = self.cutter.last_id().or(exchange.head.last_event);
        let mut failure = Failure::MaybeRun(AttemptEnd::Lost);
        loop {
            let queued = exchange.queue_again(failure).map_err(|_refusal| Broken::Lost)?;
            match exchange.attempt(queued, last_event).await {
                Ok(Ok(answered)) if answered.response.status().is_success() => {
                    self.resumed += 1;
                    let limit = idle_limit(answered.response.headers());
                    let now = exchange.shared.now();
                    self.run = Some(Run::new(answered, limit, now));
                    return Ok(());
                }
                Ok(Ok(answered)) => {
                    answered.slot.end(AttemptEnd::Failed);
                    failure = Failure::MaybeRun(AttemptEnd::Failed);
                }
                Ok(Err(next)) => failure = next,
                Err(_refusal) => return Err(Broken::Lost),
            }
        }
    }

    /// Ends the caller's stream so that it cannot look complete.
    fn break_off(&mut self, end: AttemptEnd, broken: Broken) -> BodyError {
        let outcome = match broken {
            Broken::Lost => "broken off",
            Broken::TimeOver => "time over",
        };
        let summary = self.summary(outcome);
        let run = self.run.take();
        let assignment = run.as_ref().map(|run| &run.assignment);
        request_log::stream_ended(&self.exchange, assignment, &summary);
        if let Some(run) = run {
            run.slot.end(end);
        }
        broken.into()
    }
}

fn sample(exchange: &Exchange, run: &mut Run, now: Millis) {
    let mean = now.since(run.sampled_at).0 as f64 / f64::from(run.events);
    let ticket = run.slot.ticket();
    lock(&exchange.shared.dispatch)
        .dispatcher
        .events(now, ticket, mean);
    run.events = 0;
    run.sampled_at = now;
}

/// Reads until whole events came, the stream ended, or it broke.
///
/// Only a whole event ends a pause: a server that sends single bytes is as stalled as a silent one.
async fn read(exchange: &Exchange, run: &mut Run, cutter: &mut EventCutter) -> Next {
    let since = exchange.shared.now();
    run.connection.set_read_limit(MOST_EVENT_BYTES.saturating_mul(2));
    loop {
        let left = exchange.time_left();
        let waited = exchange.shared.now().since(since);
        let may_resume =
            exchange.place.route.kind.may_repeat() && exchange.attempts < exchange.place.route.max_attempts;
        let pause = if run.had_event {
            LONGEST_PAUSE
        } else {
            run.assignment.expected.times(FIRST_EXPECTED) + FIRST_EXTRA
        };
        let within = if may_resume {
            left.min(pause.since(waited))
        } else {
            left
        };
        match timeout(within.to_duration(), run.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let events = frame.data_ref().and_then(|bytes| cutter.push(bytes));
                match events {
                    Some(events) => return Next::Events(events),
                    None if cutter.is_overlong() => {
                        log::debug!(engine:% = run.assignment.engine; "an event has no end");
                        return Next::Broken(AttemptEnd::Lost);
                    }
                    None => {}
                }
            }
            Ok(Some(Err(e))) => {
                log::debug!(engine:% = run.assignment.engine; "the stream broke off: {e}");
                return Next::Broken(AttemptEnd::Lost);
            }
            // A server that stops in the middle of an event did not end its stream.
            Ok(None) if cutter.has_partial() => return Next::Broken(AttemptEnd::Lost),
            Ok(None) => return Next::End,
            Err(_) if exchange.time_left() == Millis::ZERO => return Next::TimeOver,
            Err(_) => return Next::Broken(AttemptEnd::Silent),
        }
    }
}
