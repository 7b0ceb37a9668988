//! The handshake of a connection to a backend server that a peer relays.
//!
//! The origin sends one [`RelayRequest`], and the peer answers with one [`RelayResponse`]. After
//! [`RelayResponse::Connected`] the connection carries the bytes to and from the backend server.

use carawayseam_types::{EngineId, HostId, Millis};
use serde::{Deserialize, Serialize};

/// Requests a connection to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The origin, which sends the request.
    pub host: HostId,
    /// The backend server.
    pub engine: EngineId,
    /// The maximum time for connecting to the server.
    pub connect_timeout: Millis,
}

/// The response to a [`RelayRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The peer is connected to the server.
    Connected,
    /// The peer did not reach the server.
    Unreachable,
    /// The peer did not try.
    Refused(RelayRefusal),
}

/// Why a peer does not relay a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum RelayRefusal {
    /// The peer does not list the server.
    #[display("unknown server")]
    UnknownServer,
    /// The server is draining.
    #[display("server draining")]
    Draining,
    /// The peer is shutting down.
    #[display("peer stopping")]
    Stopping,
    /// The peer relays as many connections as it may.
    #[display("too many relayed connections")]
    TooMany,
    /// The peer does not list the origin.
    #[display("unknown host")]
    UnknownHost,
}
