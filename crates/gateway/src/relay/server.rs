//! Accepts connections from peers, and connects them to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::dispatcher::RelayTarget;
use carawayseam_node::{FrameStream, StreamError};
use carawayseam_types::Millis;
use carawayseam_wire::{RelayRefusal, RelayRequest, RelayResponse};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

use super::copy::copy;
use crate::client_memory::{CONNECTION_BYTES, Scarce};
use crate::shared::{OpenRequest, Shared, lock};
use crate::sockets::{self, SERVER_SILENCE_LIMIT, set_reset_on_close};
use crate::stopping::Phase;
use crate::traffic::ACCEPT_PAUSE;

/// The maximum number of relayed connections at a time.
const MAX_RELAYED: usize = 256;
/// The number of connections, in addition to these, that are accepted and refused with a reason.
const MAX_REFUSING: usize = 64;
/// The part of the descriptors for connections of peers, of which each may need another one to a server. With the usual
/// 1,024 descriptors the limits above hold.
const DESCRIPTOR_DIVISOR: usize = 3;
/// The maximum time from the accepting of a connection to the complete request.
const REQUEST_TIME_LIMIT: Millis = Millis(1_000);
/// The maximum time for connecting to a backend server.
const MAX_CONNECT_TIMEOUT: Millis = Millis(250);
/// A connection on which the origin acknowledges no data for this time is closed. This exceeds the limit for a
/// backend server: the origin's window stays closed as long as its caller does not read.
const ORIGIN_ACK_TIMEOUT: Millis = Millis::from_secs(30);

/// The counter of relayed connections.
const COUNTER: &str = "relayed";

/// Serves peers until the process stops accepting connections.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let max_connections = max_connections(&shared);
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.reached(Phase::NotAccepting) => return,
        };
        match (accepted, Arc::clone(&permits).try_acquire_owned()) {
            (Ok((stream, from)), Ok(permit)) => {
                // The permit of this connection is taken already.
                let relayed = max_connections - permits.available_permits() - 1;
                let is_full = permits.available_permits() < MAX_REFUSING || !may_relay(&shared, relayed);
                tokio::spawn(serve_connection(
                    Arc::clone(&shared),
                    stream,
                    from,
                    is_full,
                    permit,
                ));
            }
            (Ok((_, from)), Err(_)) => {
                shared.metrics.count(COUNTER, "too-many");
                log::debug!(from:% = from; "a peer's connection was closed: too many are open");
            }
            (Err(e), _) => {
                log::error!(error:% = e; "accepting a peer's connection failed");
                sleep(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

/// Returns how many connections are accepted at a time; fewer if the process may open few descriptors.
fn max_connections(shared: &Shared) -> usize {
    let by_descriptors = shared.client_memory.descriptors() / DESCRIPTOR_DIVISOR;
    by_descriptors.clamp(MAX_REFUSING + 1, MAX_RELAYED + MAX_REFUSING)
}

/// Returns whether this host's own traffic permits another relayed connection; always in a small fleet.
fn may_relay(shared: &Shared, relayed: usize) -> bool {
    let is_large_fleet = shared.is_large_fleet.load(Ordering::Relaxed);
    let carried = shared.carried_bytes();
    !is_large_fleet || lock(&shared.relay_budget).allows(shared.now(), carried, relayed)
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    from: SocketAddr,
    is_full: bool,
    _permit: OwnedSemaphorePermit,
) {
    let Some(_charge) = shared.client_memory.try_charge(CONNECTION_BYTES) else {
        shared.metrics.count(COUNTER, "no-memory");
        shared
            .client_memory
            .close_stalled(shared.now(), Scarce::Connections);
        return;
    };
    if let Err(e) = sockets::detect_dead_peer(&stream, ORIGIN_ACK_TIMEOUT) {
        log::debug!(from:% = from; "a peer's connection cannot be set up: {e}");
        return;
    }
    let mut frames = FrameStream::new(stream);
    let req = match frames.receive_within::<RelayRequest>(REQUEST_TIME_LIMIT).await {
        Ok(req) => req,
        Err(e) => {
            shared.metrics.count(COUNTER, "unreadable");
            log::debug!(from:% = from; "no request for a relayed connection: {e}");
            return;
        }
    };
    let _open = OpenRequest::new(&shared);
    let connected = match select_server(&shared, &req, is_full) {
        Ok(address) => connect(&shared, &req, frames.tcp(), address).await,
        Err(response) => Err(response),
    };
    let outcome = match connected {
        Ok(server) => relay(&shared, &req, frames, server).await,
        Err(response) => {
            count_failure(&shared, response);
            log::debug!(origin:% = req.host, engine:% = req.engine; "connection not relayed: {response:?}");
            frames.send(&response).await
        }
    };
    if let Err(e) = outcome {
        log::debug!(origin:% = req.host, engine:% = req.engine; "the response to a peer was not sent: {e}");
    }
}

fn count_failure(shared: &Shared, response: RelayResponse) {
    let label = match response {
        RelayResponse::Connected => return,
        RelayResponse::Unreachable => "unreachable",
        RelayResponse::Refused(RelayRefusal::UnknownServer) => "unknown-server",
        RelayResponse::Refused(RelayRefusal::Draining) => "draining",
        RelayResponse::Refused(RelayRefusal::Stopping) => "stopping",
        RelayResponse::Refused(RelayRefusal::TooMany) => "too-many",
        RelayResponse::Refused(RelayRefusal::UnknownHost) => "unknown-host",
    };
    shared.metrics.count(COUNTER, label);
}

/// Returns the address of the requested server, or the response if this host does not connect to it.
fn select_server(shared: &Shared, req: &RelayRequest, is_full: bool) -> Result<SocketAddr, RelayResponse> {
    let refuse = |refusal| Err(RelayResponse::Refused(refusal));
    let target = lock(&shared.dispatch).dispatcher.relay_target(&req.engine);
    match target {
        _ if shared.phase() != Phase::Serving => refuse(RelayRefusal::Stopping),
        _ if shared.peers.address(&req.host).is_none() => refuse(RelayRefusal::UnknownHost),
        _ if is_full => refuse(RelayRefusal::TooMany),
        RelayTarget::Unknown => refuse(RelayRefusal::UnknownServer),
        RelayTarget::Draining => refuse(RelayRefusal::Draining),
        RelayTarget::Unreachable => Err(RelayResponse::Unreachable),
        RelayTarget::Address(address) => Ok(address),
    }
}

/// Connects to a server, and prepares both connections for copying.
async fn connect(
    shared: &Shared,
    req: &RelayRequest,
    origin: &TcpStream,
    address: SocketAddr,
) -> Result<TcpStream, RelayResponse> {
    let within = req.connect_timeout.min(MAX_CONNECT_TIMEOUT);
    let connected = sockets::connect(address, within, SERVER_SILENCE_LIMIT).await;
    let prepared = connected.and_then(|server| {
        set_reset_on_close(&server, true)?;
        set_reset_on_close(origin, true)?;
        Ok(server)
    });
    prepared.map_err(|e| {
        log::debug!(origin:% = req.host, engine:% = req.engine; "connecting to the backend server failed: {e}");
        let is_inconclusive = e.kind() == io::ErrorKind::TimedOut && shared.is_overloaded();
        if !is_inconclusive {
            let now = shared.now();
            lock(&shared.dispatch).dispatcher.mark_unreachable(now, &req.engine);
        }
        RelayResponse::Unreachable
    })
}

/// Tells the origin that the server is connected, and copies bytes until the connection ends.
async fn relay(
    shared: &Shared,
    req: &RelayRequest,
    mut frames: FrameStream,
    server: TcpStream,
) -> Result<(), StreamError> {
    frames.send(&RelayResponse::Connected).await?;
    let origin = frames.into_tcp()?;
    shared.metrics.count(COUNTER, "opened");
    log::debug!(origin:% = req.host, engine:% = req.engine; "relayed connection opened");
    match copy(origin, server, &shared.relayed_bytes).await {
        Ok(()) => log::debug!(origin:% = req.host, engine:% = req.engine; "relayed connection ended"),
        Err(e) => {
            shared.metrics.count(COUNTER, "broken");
            log::debug!(origin:% = req.host, engine:% = req.engine; "relayed connection broke: {e}");
        }
    }
    Ok(())
}
