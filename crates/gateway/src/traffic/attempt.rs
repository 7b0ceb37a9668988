//! One attempt to send a request to one backend server.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use carawayseam_dispatch::AttemptEnd;
use carawayseam_dispatch::warm_up::Refusal;
use carawayseam_types::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};

use super::connecting;
use super::exchange::{Exchange, Placement};
use super::moves::MovedRequest;
use super::reservation::Slot;
use super::resumption::Continuation;
use super::server_state::record_server_state;
use super::silence::{Awaited, Patience};
use crate::body_memory::BodyBuf;
use crate::http_client::{Connection, ConnectionEnd, SendError};
use crate::platform::{OutgoingHead, ResponseHead};
use crate::request_log;
use crate::shared::Assignment;

/// The part of the remaining time that the way through a peer may take.
const RELAY_MARGIN: Millis = Millis(10);
/// The largest status that HTTP defines a class for.
const MAX_STATUS: u16 = 599;
/// Tolerance for the inaccuracy of timers when times are compared.
pub(super) const TIMER_SLACK: Millis = Millis(2);

/// A server's response whose head has been received.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) slot: Slot,
    pub(crate) assignment: Assignment,
    /// When the request was sent.
    pub(crate) assigned_at: Millis,
    /// The bytes of the body that were read already.
    pub(crate) received: BodyBuf,
}

/// The head of a response that is outstanding; dropping it closes the connection.
pub(super) type PendingResponse =
    Pin<Box<dyn Future<Output = Result<(Response<Incoming>, Connection), SendError>> + Send>>;

/// A request whose response is outstanding.
#[derive(derive_more::Debug)]
pub(super) struct SentRequest {
    pub(super) slot: Slot,
    pub(super) assignment: Assignment,
    /// When the request was sent.
    pub(super) assigned_at: Millis,
    #[debug(skip)]
    pub(super) response: PendingResponse,
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
            Self::NotRun(
                AttemptEnd::Unreachable
                    | AttemptEnd::RelayFailed
                    | AttemptEnd::LocalOverload
                    | AttemptEnd::Cancelled
            ) | Self::Stale
        )
    }

    /// Returns whether a failed link of this host may be the cause.
    pub(super) const fn may_come_from_link(self) -> bool {
        matches!(
            self,
            Self::NotRun(AttemptEnd::Unreachable)
                | Self::MaybeRun(AttemptEnd::ConnectionLost | AttemptEnd::Unresponsive)
        )
    }
}

/// Why an attempt returned no response to forward, and what follows.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// The attempt failed.
    Failed(Failure),
    /// The attempt failed, and the request had been sent to another server before.
    Moved(Failure, Box<MovedRequest>),
}

impl AttemptError {
    /// Returns how the attempt failed.
    pub(super) const fn failure(&self) -> Failure {
        match self {
            Self::Failed(failure) | Self::Moved(failure, _) => *failure,
        }
    }
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Sends a request to its server, on an open connection if there is one, and waits for the head of the response.
pub(super) async fn send(
    exchange: &mut Exchange,
    placement: Placement,
    continuation: &Continuation,
    patience: Patience,
) -> Result<ServerResponse, AttemptError> {
    let Placement { slot, assignment } = placement;
    let on_idle = match exchange.take_idle_connection(&assignment) {
        Some(connection) => send_on(exchange, connection, &assignment, continuation, patience).await,
        None => Err(Failure::NotRun(AttemptEnd::Unreachable).into()),
    };
    let sent = match on_idle {
        // There was no open connection, or the server closed it before any byte was sent.
        Err(AttemptError::Failed(Failure::NotRun(AttemptEnd::Unreachable))) => {
            send_on_new_connection(exchange, &assignment, continuation, patience).await
        }
        other => other,
    };
    check_sent(exchange, sent, slot, assignment)
}

/// Waits for the head of the response to a request that was sent before.
pub(super) async fn receive(
    exchange: &mut Exchange,
    sent: SentRequest,
    continuation: &Continuation,
    patience: Patience,
) -> Result<ServerResponse, AttemptError> {
    let SentRequest {
        slot,
        assignment,
        response,
        ..
    } = sent;
    let received = await_head(exchange, &assignment, continuation, patience, response).await;
    check_sent(exchange, received, slot, assignment)
}

/// Checks a response, or ends a failed attempt.
fn check_sent(
    exchange: &Exchange,
    sent: Result<(Response<Incoming>, Connection), AttemptError>,
    slot: Slot,
    assignment: Assignment,
) -> Result<ServerResponse, AttemptError> {
    match sent {
        Ok((response, connection)) => Ok(check_response(exchange, response, connection, slot, assignment)?),
        Err(e) => {
            end_failed(exchange, slot, &assignment, e.failure());
            Err(e)
        }
    }
}

async fn send_on_new_connection(
    exchange: &mut Exchange,
    assignment: &Assignment,
    continuation: &Continuation,
    patience: Patience,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    let connection = connecting::open(exchange, assignment).await?;
    send_on(exchange, connection, assignment, continuation, patience).await
}

/// Ends a failed attempt; what a lost connection says about the server is checked first.
pub(super) fn end_failed(
    exchange: &Exchange,
    mut slot: Slot,
    assignment: &Assignment,
    failure: Failure,
) -> Failure {
    if failure.is_unsent() {
        slot.refund_permit();
    }
    if failure.may_come_from_link() {
        exchange.close_idle_connections(assignment);
    }
    match failure {
        Failure::MaybeRun(AttemptEnd::ConnectionLost) => exchange.end_lost(slot, assignment, 0),
        Failure::NotRun(end) | Failure::MaybeRun(end) => slot.end(end),
        Failure::Stale | Failure::DeadlineExceeded => slot.end(AttemptEnd::Cancelled),
    }
    failure
}

async fn send_on(
    exchange: &mut Exchange,
    connection: Connection,
    assignment: &Assignment,
    continuation: &Continuation,
    patience: Patience,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    let response = start(exchange, connection, assignment, continuation)?;
    await_head(exchange, assignment, continuation, patience, response).await
}

/// Prepares a request that is sent on a connection as soon as its response is waited for.
///
/// # Errors
///
/// The reason why the request may not be sent now.
pub(super) fn start(
    exchange: &Exchange,
    mut connection: Connection,
    assignment: &Assignment,
    continuation: &Continuation,
) -> Result<PendingResponse, Failure> {
    let time_left = exchange.time_left();
    if exchange.is_keyed() && !exchange.shared.may_use_keys() {
        return Err(Failure::Stale);
    }
    if time_left <= TIMER_SLACK {
        return Err(Failure::NotRun(AttemptEnd::Cancelled));
    }
    // The caller may have closed during the waits before, or while its body was read.
    if exchange.caller.is_caller_gone() {
        exchange.shared.metrics.count("closed_callers", "before-send");
        return Err(Failure::NotRun(AttemptEnd::Cancelled));
    }
    // Bytes that wait for a slow link are not to be delivered after the request was given up.
    connection.set_reset_on_close(true);
    let req = outgoing_request(exchange, assignment, time_left, continuation.last_event_id());
    Ok(Box::pin(async move {
        let response = connection.send(req).await?;
        Ok((response, connection))
    }))
}

/// Why another server that has the request too keeps it.
#[derive(Debug)]
enum HeadError {
    /// No head was received.
    NotReceived(SendError),
    /// The response is a failure.
    Failure(Box<(Response<Incoming>, Connection)>),
}

async fn await_head(
    exchange: &mut Exchange,
    assignment: &Assignment,
    continuation: &Continuation,
    patience: Patience,
    response: PendingResponse,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    let (shared, id) = (Arc::clone(&exchange.shared), exchange.head.id.clone());
    let head = async move {
        let (response, connection) = response.await.map_err(HeadError::NotReceived)?;
        let head = shared.headers.read_response(response.headers());
        let status = response.status();
        match failure_of(status, &head, head.id == id) {
            None if !status.is_server_error() => Ok((response, connection)),
            _ => Err(HeadError::Failure(Box::new((response, connection)))),
        }
    };
    match exchange
        .await_server(assignment, patience, continuation, head)
        .await
    {
        Awaited::Ready(Ok(received)) => Ok(received),
        Awaited::Ready(Err(HeadError::Failure(received))) => Ok(*received),
        Awaited::Ready(Err(HeadError::NotReceived(e))) => {
            Err(record_send_error(exchange, assignment, &e).into())
        }
        Awaited::Moved(e, moved) => {
            let failure = match e {
                None => Failure::MaybeRun(AttemptEnd::Unresponsive),
                Some(HeadError::NotReceived(e)) => record_send_error(exchange, assignment, &e),
                Some(HeadError::Failure(received)) => record_head(exchange, &received.0, assignment)
                    .unwrap_or(Failure::MaybeRun(AttemptEnd::Failed)),
            };
            Err(AttemptError::Moved(failure, moved))
        }
        Awaited::DeadlineExceeded => Err(Failure::DeadlineExceeded.into()),
    }
}

/// Records why a request received no response, and returns how the attempt failed.
pub(super) fn record_send_error(exchange: &Exchange, assignment: &Assignment, e: &SendError) -> Failure {
    match e {
        SendError::NotSent(_) => Failure::NotRun(AttemptEnd::Unreachable),
        SendError::MaybeSent(e) => {
            request_log::record_lost_connection(exchange, &assignment.engine, "head", e);
            let is_closed = matches!(
                ConnectionEnd::from_error(e),
                ConnectionEnd::Closed | ConnectionEnd::Reset
            );
            if is_closed && assignment.via.is_none() {
                connecting::record_refusal(exchange, assignment, Refusal::Closed);
            }
            Failure::MaybeRun(AttemptEnd::ConnectionLost)
        }
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
    let relay_margin = assignment.via.as_ref().map_or(Millis::ZERO, |_| RELAY_MARGIN);
    let outgoing = OutgoingHead {
        time_left: time_left - relay_margin,
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

/// Returns why a response is not forwarded, if it is not.
fn failure_of(status: StatusCode, head: &ResponseHead, is_for_request: bool) -> Option<Failure> {
    match status {
        _ if !is_for_request => Some(Failure::MaybeRun(AttemptEnd::ConnectionLost)),
        StatusCode::MISDIRECTED_REQUEST => Some(Failure::NotRun(AttemptEnd::Misdirected)),
        _ if head.is_not_run => Some(Failure::NotRun(AttemptEnd::Rejected)),
        _ if status.is_success() && !(head.is_authentic && head.id.is_some()) => {
            Some(Failure::MaybeRun(AttemptEnd::ConnectionLost))
        }
        // HTTP defines no status from 600 on: such a response is none, whatever its body holds.
        _ if status.as_u16() > MAX_STATUS => Some(Failure::MaybeRun(AttemptEnd::Failed)),
        // The request asked for no other protocol; a caller must not take what follows for one.
        StatusCode::SWITCHING_PROTOCOLS => Some(Failure::MaybeRun(AttemptEnd::Failed)),
        // A request counts as not run only if the server says so, and this response does not.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            Some(Failure::MaybeRun(AttemptEnd::Failed))
        }
        _ => None,
    }
}

/// Records what a response says of its server, and returns why it is not forwarded, if it is not.
fn record_head(
    exchange: &Exchange,
    response: &Response<Incoming>,
    assignment: &Assignment,
) -> Option<Failure> {
    let head = exchange.shared.headers.read_response(response.headers());
    let status = response.status();
    let is_for_request = head.id == exchange.head.id;
    if !is_for_request {
        log::info!(
            request = exchange.head.id.as_deref(), engine:% = assignment.engine,
            response_id = head.id.as_deref(), status = status.as_u16();
            "a backend server's response does not bear the request's id"
        );
    }
    if is_for_request && status != StatusCode::MISDIRECTED_REQUEST {
        record_server_state(exchange, assignment, status, &head);
    }
    failure_of(status, &head, is_for_request)
}

/// Returns the response to forward, or a failure if the server rejected the request or the response
/// cannot be trusted to belong to it.
pub(super) fn check_response(
    exchange: &Exchange,
    response: Response<Incoming>,
    connection: Connection,
    slot: Slot,
    assignment: Assignment,
) -> Result<ServerResponse, Failure> {
    match record_head(exchange, &response, &assignment) {
        Some(failure) => Err(end_failed(exchange, slot, &assignment, failure)),
        None => Ok(ServerResponse {
            response,
            connection,
            slot,
            assignment,
            assigned_at: exchange.assigned_at,
            received: BodyBuf::of(exchange.caller.client()),
        }),
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
