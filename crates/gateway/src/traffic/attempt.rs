//! One attempt to send a request to one backend server.

use std::sync::Arc;

use bytes::Bytes;
use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::pace::ResponseTime;
use carawayseam_dispatch::{AttemptEnd, Ticket};
use carawayseam_types::{BackendName, EngineId, Millis, VersionId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::exchange::Exchange;
use super::rate_limits::Permit;
use super::slots::RemoteSlot;
use crate::http_client::{Connection, SendError};
use crate::platform::{OutgoingHead, ReportedRateLimit, ResponseHead};
use crate::shared::{Assignment, Shared, lock};

/// The maximum time to connect to a server.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// A connection on which the server acknowledges no data for this time is closed.
const ENGINE_ACK_TIMEOUT: Millis = Millis(1_200);
/// Tolerance for the inaccuracy of timers when times are compared.
const TIMER_SLACK: Millis = Millis(2);

/// A first event or plain response counts as slow after this multiple of the expected time plus the margin.
const SLOW_FACTOR: u64 = 4;
const SLOW_MARGIN: Millis = Millis(150);

/// The number of events after which it is checked whether a stream is very slow.
const EVENTS_PER_PACE_CHECK: u32 = 4;

/// The version that an attempt was assigned to, and the data to rate its response time.
#[derive(Debug)]
struct AssignedVersion {
    backend: BackendName,
    version: VersionId,
    engine: EngineId,
    at: Millis,
    expected: Millis,
    typical_first_event_ms: f64,
    typical_event_ms: f64,
    events: u32,
    is_slow: bool,
    /// Whether the time of the response was counted before its end.
    is_pace_recorded: bool,
}

impl AssignedVersion {
    fn response_time(&self, now: Millis) -> ResponseTime {
        ResponseTime {
            elapsed: now.since(self.at),
            first_event_ms: self.typical_first_event_ms,
            event_ms: self.typical_event_ms,
            events: self.events,
        }
    }
}

/// A request's slot at a backend server, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    ticket: Ticket,
    assigned: Option<AssignedVersion>,
    remote: Option<RemoteSlot>,
    permit: Option<Permit>,
    ended: bool,
}

impl Slot {
    pub(crate) const fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            assigned: None,
            remote: None,
            permit: None,
            ended: false,
        }
    }

    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records the server to which the request is sent.
    pub(crate) fn assign(&mut self, backend: &BackendName, assignment: &Assignment) {
        self.assigned = Some(AssignedVersion {
            backend: backend.clone(),
            version: assignment.version.clone(),
            engine: assignment.engine.clone(),
            at: self.shared.now(),
            expected: assignment.expected_first_event,
            typical_first_event_ms: assignment.typical_first_event_ms,
            typical_event_ms: assignment.typical_event_ms,
            events: 0,
            is_slow: false,
            is_pace_recorded: false,
        });
    }

    /// Stores the slot held at the host that owns the server's slots, if that is another host.
    pub(super) fn set_remote_slot(&mut self, remote_slot: Option<RemoteSlot>) {
        self.remote = remote_slot;
    }

    /// Stores the permit to send the request, if the server has a rate limit.
    pub(super) fn set_permit(&mut self, permit: Option<Permit>) {
        self.permit = permit;
    }

    /// Returns the permit, because the request is not sent.
    pub(super) fn refund_permit(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.refund(&self.shared);
        }
    }

    fn release(&mut self) {
        if let Some(remote_slot) = self.remote.take() {
            remote_slot.release(&self.shared);
        }
    }

    /// Records that the first event or a plain response was received.
    pub(crate) fn record_first_event(&mut self) {
        let now = self.shared.now();
        if let Some(assigned) = &mut self.assigned {
            let slow_after = assigned.expected.times(SLOW_FACTOR) + SLOW_MARGIN;
            assigned.is_slow = now.since(assigned.at) > slow_after;
        }
        lock(&self.shared.dispatch)
            .dispatcher
            .record_first_event(now, self.ticket);
    }

    /// Records that a stream's events were received.
    pub(crate) fn record_events(&mut self, count: u32) {
        let Some(assigned) = &mut self.assigned else {
            return;
        };
        let checks_before = assigned.events / EVENTS_PER_PACE_CHECK;
        assigned.events += count;
        if assigned.events / EVENTS_PER_PACE_CHECK > checks_before {
            self.record_unfinished_pace();
        }
    }

    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        self.record_version_outcome(end);
        match end {
            AttemptEnd::Complete => self.record_pace(),
            _ => self.record_unfinished_pace(),
        }
        self.release();
        lock(&self.shared.dispatch).end_attempt(self.shared.now(), self.ticket, end);
    }

    /// Records the attempt as a success or failure of its version, if its end depends on the version.
    fn record_version_outcome(&self, end: AttemptEnd) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let is_bad = match end {
            AttemptEnd::Complete => assigned.is_slow,
            AttemptEnd::Failed | AttemptEnd::ConnectionLost | AttemptEnd::Unresponsive => true,
            AttemptEnd::Unreachable
            | AttemptEnd::Rejected
            | AttemptEnd::NoSlot
            | AttemptEnd::RateLimited
            | AttemptEnd::Misdirected
            | AttemptEnd::Cancelled => return,
        };
        lock(&self.shared.rollouts).record_response(&assigned.backend, &assigned.version, is_bad);
    }

    /// Records how long the complete response of the version took.
    fn record_pace(&self) {
        let assigned = self.assigned.as_ref();
        if let Some(assigned) = assigned.filter(|assigned| !assigned.is_pace_recorded) {
            let time = assigned.response_time(self.shared.now());
            let mut rollouts = lock(&self.shared.rollouts);
            rollouts.record_pace(&assigned.backend, &assigned.version, &assigned.engine, time);
        }
    }

    /// Records how long the unfinished response of the version takes if it is very slow already; its caller
    /// may not wait for its end.
    fn record_unfinished_pace(&mut self) {
        let assigned = self.assigned.as_mut();
        if let Some(assigned) = assigned.filter(|assigned| !assigned.is_pace_recorded) {
            let time = assigned.response_time(self.shared.now());
            let mut rollouts = lock(&self.shared.rollouts);
            assigned.is_pace_recorded =
                rollouts.record_unfinished_pace(&assigned.backend, &assigned.version, time);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            self.record_unfinished_pace();
            self.release();
            lock(&self.shared.dispatch).cancel(self.shared.now(), self.ticket);
        }
    }
}

/// A server's response whose head has been received.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) slot: Slot,
    pub(crate) assignment: Assignment,
}

/// The reason why an attempt returned no response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Failure {
    /// The attempt ended this way, and the request did not run.
    #[display("{_0}, not run")]
    NotRun(AttemptEnd),
    /// The attempt ended this way, and the request may have run.
    #[display("{_0}, may have run")]
    MaybeRun(AttemptEnd),
    /// The configuration was not confirmed recently, so nothing was sent.
    #[display("the configuration was not confirmed lately, not run")]
    Stale,
    /// The request's deadline has passed; the request may have run.
    #[display("time over, may have run")]
    DeadlineExceeded,
}

impl Failure {
    /// Returns whether no byte of the request was sent.
    pub(crate) const fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::NotRun(AttemptEnd::Unreachable | AttemptEnd::Cancelled) | Self::Stale
        )
    }
}

/// Sends a request to its server and waits for the head of the response.
pub(crate) async fn send(
    exchange: &Exchange,
    slot: Slot,
    assignment: Assignment,
    last_event_id: Option<u64>,
    response_timeout: Option<Millis>,
) -> Result<ServerResponse, Failure> {
    let on_reused = match exchange.take_idle_connection(&assignment) {
        Some(idle_connection) => {
            send_on(
                exchange,
                idle_connection,
                &assignment,
                last_event_id,
                response_timeout,
            )
            .await
        }
        None => Err(Failure::NotRun(AttemptEnd::Unreachable)),
    };
    let sent = match on_reused {
        // There was no idle connection, or the server closed it before any byte was sent.
        Err(Failure::NotRun(AttemptEnd::Unreachable)) => {
            send_on_new_connection(exchange, &assignment, last_event_id, response_timeout).await
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
    last_event_id: Option<u64>,
    response_timeout: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let connection = open(exchange, assignment).await?;
    send_on(exchange, connection, assignment, last_event_id, response_timeout).await
}

fn end_failed(mut slot: Slot, failure: Failure) -> Failure {
    if failure.is_unsent() {
        slot.refund_permit();
    }
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
            log::debug!(engine:% = assignment.engine; "connecting to the backend server failed: {e}");
            Err(Failure::NotRun(AttemptEnd::Unreachable))
        }
    }
}

async fn send_on(
    exchange: &Exchange,
    mut connection: Connection,
    assignment: &Assignment,
    last_event_id: Option<u64>,
    response_timeout: Option<Millis>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let time_left = exchange.time_left();
    if exchange.is_keyed() && !exchange.shared.may_use_keys() {
        return Err(Failure::Stale);
    }
    if time_left <= TIMER_SLACK {
        return Err(Failure::NotRun(AttemptEnd::Cancelled));
    }
    let req = outgoing_request(exchange, assignment, time_left, last_event_id);
    let within = response_timeout.map_or(time_left, |response_timeout| response_timeout.min(time_left));
    match timeout(within.to_duration(), connection.send(req)).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(SendError::NotSent(_))) => Err(Failure::NotRun(AttemptEnd::Unreachable)),
        Ok(Err(SendError::MaybeSent(e))) => {
            log::debug!(engine:% = assignment.engine; "no response from the backend server: {e}");
            Err(Failure::MaybeRun(AttemptEnd::ConnectionLost))
        }
        Err(_) if exchange.time_left() <= TIMER_SLACK => Err(Failure::DeadlineExceeded),
        Err(_) => Err(Failure::MaybeRun(AttemptEnd::Unresponsive)),
    }
}

fn outgoing_request(
    exchange: &Exchange,
    assignment: &Assignment,
    time_left: Millis,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(exchange.body.clone()));
    *req.method_mut() = exchange.method.clone();
    *req.uri_mut() = exchange.uri.clone();
    *req.headers_mut() = exchange.request_headers.clone();
    let outgoing = OutgoingHead {
        time_left,
        engine: &assignment.engine,
        organisation: exchange.organisation_name(),
        last_event_id,
    };
    exchange
        .shared
        .headers
        .write_request(req.headers_mut(), &outgoing);
    req
}

/// Returns the response to forward, or a failure if the server rejected the request or the response
/// cannot be trusted to belong to it.
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
        _ if !is_for_request => Some(Failure::MaybeRun(AttemptEnd::ConnectionLost)),
        StatusCode::MISDIRECTED_REQUEST => Some(Failure::NotRun(AttemptEnd::Misdirected)),
        _ if head.is_not_run => Some(Failure::NotRun(AttemptEnd::Rejected)),
        _ if status.is_success() && !(head.is_authentic && head.id.is_some()) => {
            Some(Failure::MaybeRun(AttemptEnd::ConnectionLost))
        }
        // A request counts as not run only if the server says so, and this response does not.
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

/// Applies the server state that a response reports in its headers.
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
        let server = DrainingServer {
            engine: engine.clone(),
            started: assignment.started,
        };
        if lock(&shared.dispatch).dispatcher.mark_draining(now, server, true) {
            log::info!(engine:% = engine; "backend server reports that it is draining");
        }
    }
    let retry_after = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(span) = retry_after {
        log::info!(engine:% = engine, span_ms = span.0; "backend server rejects requests for the given time");
        shared.metrics.count("engine_closed", "retry-after");
        lock(&shared.dispatch).dispatcher.close_server(now, engine, span);
    }
    record_rate_limit(exchange, engine, head.rate_limit);
}

/// Records the rate limit that a response reports, or that it reports none.
fn record_rate_limit(exchange: &Exchange, engine: &EngineId, reported: ReportedRateLimit) {
    let shared = &exchange.shared;
    let limit = match reported {
        ReportedRateLimit::Unlimited => None,
        ReportedRateLimit::Limited(limit) => Some(limit),
        ReportedRateLimit::Unreadable => {
            shared.metrics.count("engine_limits", "unreadable");
            log::warn!(engine:% = engine; "the rate limit of a backend server cannot be read; ignored");
            return;
        }
    };
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let is_change = dispatch.record_rate_limit(now, engine, exchange.assigned_at, limit);
    drop(dispatch);
    match limit {
        _ if !is_change => {}
        Some(limit) => {
            shared.metrics.count("engine_limits", "reported");
            log::info!(engine:% = engine, limit_per_s = limit.per_second(); "backend server limits its request rate");
        }
        None => {
            shared.metrics.count("engine_limits", "ended");
            log::info!(engine:% = engine; "backend server no longer limits its request rate");
        }
    }
}

/// The hop-by-hop headers.
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

/// Removes the hop-by-hop headers, including those listed in `Connection`.
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

/// Returns how long the server keeps an idle connection open, if its `Keep-Alive` header states it.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
