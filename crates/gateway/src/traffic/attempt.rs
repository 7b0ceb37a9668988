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
use super::slots::RemoteSlot;
use crate::http_client::{Connection, SendError};
use crate::platform::{OutgoingHead, ResponseHead};
use crate::shared::{Assignment, Shared, lock};

/// How long connecting to a server may take.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// A server that acknowledges nothing for so long is gone.
const ENGINE_ACK_TIMEOUT: Millis = Millis(1_200);
/// What may be lost on the way when times are compared.
const TIMER_SLACK: Millis = Millis(2);

/// A first event or plain answer that takes this many times the expected time, and some more, is bad.
const SLOW_FACTOR: u64 = 4;
const SLOW_MARGIN: Millis = Millis(150);

/// What a request's place at a server was given for.
#[derive(Debug)]
struct AssignedVersion {
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
    assigned: Option<AssignedVersion>,
    reserved: Option<RemoteSlot>,
    ended: bool,
}

impl Slot {
    pub(crate) const fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            assigned: None,
            reserved: None,
            ended: false,
        }
    }

    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Notes the server that the request goes to.
    pub(crate) fn assign(&mut self, backend: &BackendName, assignment: &Assignment) {
        self.assigned = Some(AssignedVersion {
            backend: backend.clone(),
            version: assignment.version.clone(),
            at: self.shared.now(),
            expected: assignment.expected,
            is_slow: false,
        });
    }

    /// Notes that another host counts the server's slots.
    pub(super) fn keep(&mut self, reserved: Option<RemoteSlot>) {
        self.reserved = reserved;
    }

    fn release(&mut self) {
        if let Some(reserved) = self.reserved.take() {
            reserved.release(&self.shared);
        }
    }

    /// The first event, or a plain answer, came.
    pub(crate) fn first_event(&mut self) {
        let now = self.shared.now();
        if let Some(assigned) = &mut self.assigned {
            let slow_after = assigned.expected.times(SLOW_FACTOR) + SLOW_MARGIN;
            assigned.is_slow = now.since(assigned.at) > slow_after;
        }
        lock(&self.shared.dispatch)
            .dispatcher
            .first_event(now, self.ticket);
    }

    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        self.record_version_outcome(end);
        self.release();
        lock(&self.shared.dispatch).end_attempt(self.shared.now(), self.ticket, end);
    }

    /// Counts the attempt for or against its version, if it says something of it.
    fn record_version_outcome(&self, end: AttemptEnd) {
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
            self.release();
            lock(&self.shared.dispatch).cancel(self.shared.now(), self.ticket);
        }
    }
}

/// An answer whose head came.
#[derive(Debug)]
pub(crate) struct ServerResponse {
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
    DeadlineExceeded,
}

/// Sends a request to its server and waits for the answer's head.
pub(crate) async fn send(
    exchange: &Exchange,
    slot: Slot,
    assignment: Assignment,
    last_event: Option<u64>,
    response_timeout: Option<Millis>,
) -> Result<ServerResponse, Failure> {
    let on_reused = match exchange.take_idle_connection(&assignment) {
        Some(reserved) => send_on(exchange, reserved, &assignment, last_event, response_timeout).await,
        None => Err(Failure::NotRun(AttemptEnd::Unreachable)),
    };
    let sent = match on_reused {
        // There was no kept connection, or the server closed it before a byte left.
        Err(Failure::NotRun(AttemptEnd::Unreachable)) => {
            send_on_new_connection(exchange, &assignment, last_event, response_timeout).await
        }
        other => other,
    };
    match sent {
        Ok((response, connection)) => check_response(exchange, response, connection, slot, assignment),
        Err(failure) => Err(end_failed(slot, failure)),
    }
}

async fn send_on_new_connection(
    exchange: &Exchange,
    assignment: &Assignment,
    last_event: Option<u64>,
    response_timeout: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let connection = open(exchange, assignment).await?;
    send_on(exchange, connection, assignment, last_event, response_timeout).await
}

fn end_failed(slot: Slot, failure: Failure) -> Failure {
    match failure {
        Failure::NotRun(end) | Failure::MaybeRun(end) => slot.end(end),
        Failure::Stale | Failure::DeadlineExceeded => slot.end(AttemptEnd::Cancelled),
    }
    failure
}

async fn open(exchange: &Exchange, assignment: &Assignment) -> Result<Connection, Failure> {
    let within = CONNECT_TIMEOUT.min(exchange.time_left());
    exchange.shared.metrics.count("engine_connections", "opened");
    match Connection::open(assignment.address, within, ENGINE_ACK_TIMEOUT).await {
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
    response_timeout: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let time_left = exchange.time_left();
    if exchange.is_keyed() && !exchange.shared.may_use_keys() {
        return Err(Failure::Stale);
    }
    if time_left <= TIMER_SLACK {
        return Err(Failure::NotRun(AttemptEnd::Cancelled));
    }
    let req = outgoing_request(exchange, assignment, time_left, last_event);
    let within = response_timeout.map_or(time_left, |response_timeout| response_timeout.min(time_left));
    match timeout(within.to_duration(), connection.send(req)).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(SendError::NotSent(_))) => Err(Failure::NotRun(AttemptEnd::Unreachable)),
        Ok(Err(SendError::MaybeSent(e))) => {
            log::debug!(engine:% = assignment.engine; "no answer: {e}");
            Err(Failure::MaybeRun(AttemptEnd::Lost))
        }
        Err(_) if exchange.time_left() <= TIMER_SLACK => Err(Failure::DeadlineExceeded),
        Err(_) => Err(Failure::MaybeRun(AttemptEnd::Silent)),
    }
}

fn outgoing_request(
    exchange: &Exchange,
    assignment: &Assignment,
    time_left: Millis,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(exchange.body.clone()));
    *req.method_mut() = exchange.method.clone();
    *req.uri_mut() = exchange.uri.clone();
    *req.headers_mut() = exchange.request_headers.clone();
    let outgoing_request = OutgoingHead {
        time_left,
        engine: &assignment.engine,
        organisation: exchange.organisation_name(),
        last_event,
    };
    exchange
        .shared
        .headers
        .write_request(req.headers_mut(), &outgoing_request);
    req
}

/// Tells a server's own answer from a refusal, and from bytes that are no answer to this request.
fn check_response(
    exchange: &Exchange,
    response: Response<Incoming>,
    connection: Connection,
    slot: Slot,
    assignment: Assignment,
) -> Result<ServerResponse, Failure> {
    let head = exchange.shared.headers.read_response(response.headers());
    let status = response.status();
    let is_for_request = head.id.is_none() || head.id == exchange.head.id;
    if is_for_request && status != StatusCode::MISDIRECTED_REQUEST {
        record_server_state(exchange, &assignment, status, &head);
    }
    let failure = match status {
        _ if !is_for_request => Some(Failure::MaybeRun(AttemptEnd::Lost)),
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
        Some(failure) => Err(end_failed(slot, failure)),
        None => Ok(ServerResponse {
            response,
            connection,
            slot,
            assignment,
        }),
    }
}

/// Heeds what a server says of itself beside its answer.
fn record_server_state(
    exchange: &Exchange,
    assignment: &Assignment,
    status: StatusCode,
    head: &ResponseHead,
) {
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
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
