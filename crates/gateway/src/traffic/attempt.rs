//! One attempt to have a request answered by one backend server.

use std::sync::Arc;

use bytes::Bytes;
use carawayseam_dispatch::leavers::Leaver;
use carawayseam_dispatch::{AttemptEnd, Ticket};
use carawayseam_types::{BackendName, Millis, VersionId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::exchange::Exchange;
use super::slots::KeptSlot;
use crate::http_client::{Connection, SendError};
use crate::platform::{OutgoingHead, ResponseHead};
use crate::shared::{Assignment, Shared, lock};

/// How long connecting to a server may take.
const CONNECT_LIMIT: Millis = Millis(250);
/// A server that acknowledges nothing for so long is gone.
const ENGINE_SILENCE: Millis = Millis(1_200);
/// What may be lost on the way when times are compared.
const TIMER_SLACK: Millis = Millis(2);

/// A first event or plain answer that takes this many times the expected time, and some more, is bad.
const SLOW_TIMES: u64 = 4;
const SLOW_EXTRA: Millis = Millis(150);

/// What a request's place at a server was given for.
#[derive(Debug)]
struct Assigned {
    backend: BackendName,
    version: VersionId,
    at: Millis,
    expected: Millis,
    is_slow: bool,
}

/// A request's place at a backend server, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    ticket: Ticket,
    assigned: Option<Assigned>,
    kept: Option<KeptSlot>,
    ended: bool,
}

impl Slot {
    pub(crate) const fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            assigned: None,
            kept: None,
            ended: false,
        }
    }

    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Notes the server that the request goes to.
    pub(crate) fn assign(&mut self, backend: &BackendName, assignment: &Assignment) {
        self.assigned = Some(Assigned {
            backend: backend.clone(),
            version: assignment.version.clone(),
            at: self.shared.now(),
            expected: assignment.expected,
            is_slow: false,
        });
    }

    /// Notes that another host counts the server's slots.
    pub(super) fn keep(&mut self, kept: Option<KeptSlot>) {
        self.kept = kept;
    }

    fn give_back(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.give_back(&self.shared);
        }
    }

    /// The first event, or a plain answer, came.
    pub(crate) fn first_event(&mut self) {
        let now = self.shared.now();
        if let Some(assigned) = &mut self.assigned {
            let most = assigned.expected.times(SLOW_TIMES) + SLOW_EXTRA;
            assigned.is_slow = now.since(assigned.at) > most;
        }
        lock(&self.shared.dispatch)
            .dispatcher
            .first_event(now, self.ticket);
    }

    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        self.judge_version(end);
        self.give_back();
        lock(&self.shared.dispatch).end_attempt(self.shared.now(), self.ticket, end);
    }

    /// Counts the attempt for or against its version, if it says something of it.
    fn judge_version(&self, end: AttemptEnd) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let is_bad = match end {
            AttemptEnd::Complete => assigned.is_slow,
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Silent => true,
            AttemptEnd::Unreachable
            | AttemptEnd::Rejected
            | AttemptEnd::Taken
            | AttemptEnd::Misdirected
            | AttemptEnd::Cancelled => return,
        };
        lock(&self.shared.rollouts).observed(&assigned.backend, &assigned.version, is_bad);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            self.give_back();
            lock(&self.shared.dispatch).cancel(self.shared.now(), self.ticket);
        }
    }
}

/// An answer whose head came.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) slot: Slot,
    pub(crate) assignment: Assignment,
}

/// Why an attempt brought no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Failure {
    /// It ended so; the request did not run.
    #[display("{_0}, not run")]
    NotRun(AttemptEnd),
    /// It ended so; the request may have run.
    #[display("{_0}, may have run")]
    MaybeRun(AttemptEnd),
    /// The configuration was not confirmed lately; nothing was sent.
    #[display("the configuration was not confirmed lately, not run")]
    Stale,
    /// The request's time is over; it may have run.
    #[display("time over, may have run")]
    TimeOver,
}

/// Sends a request to its server and waits for the answer's head.
pub(crate) async fn send(
    exchange: &Exchange,
    slot: Slot,
    assignment: Assignment,
    last_event: Option<u64>,
    silence: Option<Millis>,
) -> Result<Answered, Failure> {
    let on_kept = match exchange.reuse(&assignment) {
        Some(kept) => send_on(exchange, kept, &assignment, last_event, silence).await,
        None => Err(Failure::NotRun(AttemptEnd::Unreachable)),
    };
    let sent = match on_kept {
        // There was no kept connection, or the server closed it before a byte left.
        Err(Failure::NotRun(AttemptEnd::Unreachable)) => {
            send_on_new(exchange, &assignment, last_event, silence).await
        }
        other => other,
    };
    match sent {
        Ok((response, connection)) => judge(exchange, response, connection, slot, assignment),
        Err(failure) => Err(fail(slot, failure)),
    }
}

async fn send_on_new(
    exchange: &Exchange,
    assignment: &Assignment,
    last_event: Option<u64>,
    silence: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let connection = open(exchange, assignment).await?;
    send_on(exchange, connection, assignment, last_event, silence).await
}

fn fail(slot: Slot, failure: Failure) -> Failure {
    match failure {
        Failure::NotRun(end) | Failure::MaybeRun(end) => slot.end(end),
        Failure::Stale | Failure::TimeOver => slot.end(AttemptEnd::Cancelled),
    }
    failure
}

async fn open(exchange: &Exchange, assignment: &Assignment) -> Result<Connection, Failure> {
    let within = CONNECT_LIMIT.min(exchange.time_left());
    exchange.shared.metrics.count("engine_connections", "opened");
    match Connection::open(assignment.address, within, ENGINE_SILENCE).await {
        Ok(connection) => Ok(connection),
        Err(e) => {
            log::debug!(engine:% = assignment.engine; "connecting failed: {e}");
            Err(Failure::NotRun(AttemptEnd::Unreachable))
        }
    }
}

async fn send_on(
    exchange: &Exchange,
    mut connection: Connection,
    assignment: &Assignment,
    last_event: Option<u64>,
    silence: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let time_left = exchange.time_left();
    if exchange.is_keyed() && !exchange.shared.may_use_keys() {
        return Err(Failure::Stale);
    }
    if time_left <= TIMER_SLACK {
        return Err(Failure::NotRun(AttemptEnd::Cancelled));
    }
    let req = outgoing(exchange, assignment, time_left, last_event);
    let within = silence.map_or(time_left, |silence| silence.min(time_left));
    match timeout(within.to_duration(), connection.send(req)).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(SendError::NotSent(_))) => Err(Failure::NotRun(AttemptEnd::Unreachable)),
        Ok(Err(SendError::MaybeSent(e))) => {
            log::debug!(engine:% = assignment.engine; "no answer: {e}");
            Err(Failure::MaybeRun(AttemptEnd::Lost))
        }
        Err(_) if exchange.time_left() <= TIMER_SLACK => Err(Failure::TimeOver),
        Err(_) => Err(Failure::MaybeRun(AttemptEnd::Silent)),
    }
}

fn outgoing(
    exchange: &Exchange,
    assignment: &Assignment,
    time_left: Millis,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(exchange.body.clone()));
    *req.method_mut() = exchange.method.clone();
    *req.uri_mut() = exchange.uri.clone();
    *req.headers_mut() = exchange.request_headers.clone();
    let outgoing = OutgoingHead {
        time_left,
        engine: &assignment.engine,
        organisation: exchange.organisation_name(),
        last_event,
    };
    exchange
        .shared
        .headers
        .write_request(req.headers_mut(), &outgoing);
    req
}

/// Tells a server's own answer from a refusal, and from bytes that are no answer to this request.
fn judge(
    exchange: &Exchange,
    response: Response<Incoming>,
    connection: Connection,
    slot: Slot,
    assignment: Assignment,
) -> Result<Answered, Failure> {
    let head = exchange.shared.headers.read_response(response.headers());
    let status = response.status();
    let is_own = head.id.is_none() || head.id == exchange.head.id;
    if is_own && status != StatusCode::MISDIRECTED_REQUEST {
        note_server_state(exchange, &assignment, status, &head);
    }
    let failure = match status {
        _ if !is_own => Some(Failure::MaybeRun(AttemptEnd::Lost)),
        StatusCode::MISDIRECTED_REQUEST => Some(Failure::NotRun(AttemptEnd::Misdirected)),
        _ if head.not_run => Some(Failure::NotRun(AttemptEnd::Rejected)),
        _ if status.is_success() && !(head.is_authentic && head.id.is_some()) => {
            Some(Failure::MaybeRun(AttemptEnd::Lost))
        }
        // Only the server's word counts that a request did not run, and this answer does not give it.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            Some(Failure::MaybeRun(AttemptEnd::Failed))
        }
        _ => None,
    };
    match failure {
        Some(failure) => Err(fail(slot, failure)),
        None => Ok(Answered {
            response,
            connection,
            slot,
            assignment,
        }),
    }
}

/// Heeds what a server says of itself beside its answer.
fn note_server_state(exchange: &Exchange, assignment: &Assignment, status: StatusCode, head: &ResponseHead) {
    let shared = &exchange.shared;
    let now = shared.now();
    let engine = &assignment.engine;
    if head.is_draining {
        let leaver = Leaver {
            engine: engine.clone(),
            started: assignment.started,
        };
        if lock(&shared.dispatch).dispatcher.server_leaves(now, leaver, true) {
            log::info!(engine:% = engine; "backend server says that it leaves");
        }
    }
    let retry_after = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(span) = retry_after {
        log::info!(engine:% = engine, span_ms = span.0; "backend server wants nothing for a while");
        shared.metrics.count("engine_closed", "retry-after");
        lock(&shared.dispatch).dispatcher.server_closes(now, engine, span);
    }
}

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that concern one connection only.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// How long a server keeps an idle connection, if it says so.
pub(crate) fn idle_limit(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
