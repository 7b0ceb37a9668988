//! Opens connections to backend servers through a peer.

use std::io;
use std::net::SocketAddr;

use carawayseam_node::{FrameStream, StreamError};
use carawayseam_types::{EngineId, HostId, Millis};
use carawayseam_wire::{RelayRefusal, RelayRequest, RelayResponse};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::shared::Shared;
use crate::sockets::{self, SERVER_SILENCE_LIMIT};

/// The time for the peer's response after its attempt to connect has timed out.
const RESPONSE_MARGIN: Millis = Millis(20);

/// Why no connection was opened through a peer. No byte of the request was sent.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum RelayError {
    /// The peer is not listed.
    #[display("the address of the peer is not known")]
    UnknownPeer,
    /// The peer cannot be connected to.
    #[display("the peer cannot be connected to: {_0}")]
    PeerUnreachable(io::Error),
    /// The peer closed the connection, or its response cannot be read.
    #[display("no response from the peer: {_0}")]
    NoResponse(StreamError),
    /// The peer refused.
    #[display("the peer refused: {_0}")]
    #[error(ignore)]
    Refused(RelayRefusal),
    /// The peer does not reach the server.
    #[display("the peer does not reach the server")]
    ServerUnreachable,
    /// The connection was not opened in time.
    #[display("not connected through the peer within {_0}")]
    #[error(ignore)]
    Timeout(Millis),
}

/// Connects to a backend server through a peer, within `connect_timeout` in total.
///
/// The connection carries one request, and must not be used again.
///
/// # Errors
///
/// [`RelayError`] shows whether another peer or another server may help.
pub(crate) async fn connect(
    shared: &Shared,
    peer: &HostId,
    engine: &EngineId,
    connect_timeout: Millis,
) -> Result<TcpStream, RelayError> {
    let address = shared.peers.address(peer).ok_or(RelayError::UnknownPeer)?;
    connect_at(address, &shared.settings.host, engine, connect_timeout).await
}

/// Connects to a backend server through the peer at an address, within `connect_timeout` in total.
///
/// # Errors
///
/// [`RelayError`], except for [`RelayError::UnknownPeer`].
pub async fn connect_at(
    address: SocketAddr,
    own_host: &HostId,
    engine: &EngineId,
    connect_timeout: Millis,
) -> Result<TcpStream, RelayError> {
    let connecting = open(address, own_host, engine, connect_timeout);
    match timeout(connect_timeout.to_duration(), connecting).await {
        Ok(opened) => opened,
        Err(_) => Err(RelayError::Timeout(connect_timeout)),
    }
}

async fn open(
    address: SocketAddr,
    own_host: &HostId,
    engine: &EngineId,
    connect_timeout: Millis,
) -> Result<TcpStream, RelayError> {
    let started_at = Instant::now();
    let stream = sockets::connect(address, connect_timeout, SERVER_SILENCE_LIMIT)
        .await
        .map_err(RelayError::PeerUnreachable)?;
    let elapsed = Millis(started_at.elapsed().as_millis() as u64);
    let req = RelayRequest {
        host: own_host.clone(),
        engine: engine.clone(),
        connect_timeout: connect_timeout - elapsed - RESPONSE_MARGIN,
    };
    let mut frames = FrameStream::new(stream);
    frames.send(&req).await.map_err(RelayError::NoResponse)?;
    match frames.receive().await.map_err(RelayError::NoResponse)? {
        RelayResponse::Connected => frames.into_tcp().map_err(RelayError::NoResponse),
        RelayResponse::Unreachable => Err(RelayError::ServerUnreachable),
        RelayResponse::Refused(refusal) => Err(RelayError::Refused(refusal)),
    }
}
