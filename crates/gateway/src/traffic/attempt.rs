//! One attempt to send a request to one backend server.

use bytes::Bytes;
use carawayseam_dispatch::AttemptEnd;
use carawayseam_types::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::exchange::Exchange;
use super::reservation::Slot;
use super::server_state::record_server_state;
use crate::http_client::{Connection, SendError};
use crate::platform::OutgoingHead;
use crate::request_log;
use crate::shared::Assignment;
use crate::sockets::SERVER_SILENCE_LIMIT;

/// The maximum time to connect to a server.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// Tolerance for the inaccuracy of timers when times are compared.
const TIMER_SLACK: Millis = Millis(2);

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
    match Connection::open(assignment.address, within, SERVER_SILENCE_LIMIT).await {
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
            request_log::record_lost_connection(exchange, &assignment.engine, "head", &e);
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
