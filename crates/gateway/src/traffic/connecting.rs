//! Opening of connections to backend servers, directly or through a peer.

use std::io::ErrorKind;

use carawayseam_dispatch::AttemptEnd;
use carawayseam_dispatch::local_overload::Reached;
use carawayseam_dispatch::warm_up::Refusal;
use carawayseam_types::{HostId, Millis};
use tokio::time::Instant;

use super::attempt::Failure;
use super::exchange::Exchange;
use crate::http_client::Connection;
use crate::relay;
use crate::request_log;
use crate::shared::{Assignment, lock};
use crate::sockets::SERVER_SILENCE_LIMIT;

/// The maximum time to connect to a server.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// The maximum time to connect to a server through a peer.
const RELAY_CONNECT_TIMEOUT: Millis = Millis(300);

/// Returns an open connection to the server of an assignment, and opens one if there is none.
pub(super) async fn connect(exchange: &Exchange, assignment: &Assignment) -> Result<Connection, Failure> {
    match exchange.take_idle_connection(assignment) {
        Some(idle_connection) => Ok(idle_connection),
        None => open(exchange, assignment).await,
    }
}

/// Opens a connection to the server of an assignment.
pub(super) async fn open(exchange: &Exchange, assignment: &Assignment) -> Result<Connection, Failure> {
    match &assignment.via {
        None => open_directly(exchange, assignment).await,
        Some(peer) => open_through(exchange, assignment, peer).await,
    }
}

/// Connects to the server through a peer; the connection carries this request only.
async fn open_through(
    exchange: &Exchange,
    assignment: &Assignment,
    peer: &HostId,
) -> Result<Connection, Failure> {
    let shared = &exchange.shared;
    let within = RELAY_CONNECT_TIMEOUT.min(exchange.time_left());
    let opened = relay::connect(shared, peer, &assignment.engine, within).await;
    request_log::record_relay(exchange, &assignment.engine, peer, opened.as_ref().err());
    let stream = match opened {
        Ok(stream) => {
            shared.record_connection(&assignment.engine);
            stream
        }
        Err(_logged) => return Err(Failure::NotRun(AttemptEnd::RelayFailed)),
    };
    Connection::over(stream).await.map_err(|e| {
        log::debug!(engine:% = assignment.engine, peer:% = peer; "the connection through a peer broke: {e}");
        Failure::NotRun(AttemptEnd::RelayFailed)
    })
}

async fn open_directly(exchange: &Exchange, assignment: &Assignment) -> Result<Connection, Failure> {
    let within = CONNECT_TIMEOUT + exchange.shared.extra_connect_time();
    let within = within.min(exchange.time_left());
    let started_at = Instant::now();
    exchange.shared.metrics.count("engine_connections", "opened");
    let opened = Connection::open(assignment.address, within, SERVER_SILENCE_LIMIT).await;
    let elapsed = Millis(started_at.elapsed().as_millis() as u64);
    let reached = match &opened {
        Err(e) if e.kind() == ErrorKind::TimedOut => Reached::NotWithin(elapsed),
        _ => Reached::After(elapsed),
    };
    let shared = &exchange.shared;
    lock(&shared.overload).record_server(shared.now(), assignment.engine.clone(), reached);
    match opened {
        Ok(connection) => {
            shared.record_connection(&assignment.engine);
            Ok(connection)
        }
        Err(e) => {
            log::debug!(engine:% = assignment.engine; "connecting to the backend server failed: {e}");
            match e.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                    record_refusal(exchange, assignment, Refusal::Closed);
                }
                // A wait that the caller's deadline cut short says nothing about the server.
                ErrorKind::TimedOut if within < CONNECT_TIMEOUT => {}
                _ => record_refusal(exchange, assignment, Refusal::Unanswered),
            }
            // A server that refuses has been reached.
            if e.kind() == ErrorKind::TimedOut && shared.is_overloaded() {
                shared.metrics.count("local_overload", "connection-timed-out");
                return Err(Failure::NotRun(AttemptEnd::LocalOverload));
            }
            Err(Failure::NotRun(AttemptEnd::Unreachable))
        }
    }
}

/// Records that a connection to a server failed, so that it may have crashed.
pub(super) fn record_refusal(exchange: &Exchange, assignment: &Assignment, refusal: Refusal) {
    let shared = &exchange.shared;
    let mut dispatch = lock(&shared.dispatch);
    let (now, engine) = (shared.now(), &assignment.engine);
    dispatch
        .server_limits
        .record_refusal(now, engine, &exchange.backend, refusal);
}
