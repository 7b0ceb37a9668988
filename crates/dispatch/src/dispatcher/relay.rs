//! Which backend servers this host connects to for its peers.

use std::net::SocketAddr;

use carawayseam_types::EngineId;

use super::Dispatcher;

/// Whether this host can relay connections to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayTarget {
    /// The server is listed and reachable at this address.
    Address(SocketAddr),
    /// The server is not listed.
    Unknown,
    /// The server is draining, or its zone is evacuated.
    Draining,
    /// This host does not reach the server.
    Unreachable,
}

impl Dispatcher {
    /// Returns whether this host can relay connections to a backend server, and at which address.
    ///
    /// The server's load, pauses and limits are not considered: the host that sends the request has
    /// reserved its slot.
    #[must_use]
    pub fn relay_target(&self, engine: &EngineId) -> RelayTarget {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        match engines.find(|known| known.entry.id == *engine) {
            None => RelayTarget::Unknown,
            Some(known) if known.is_out_of_service() => RelayTarget::Draining,
            Some(known) if !known.reach.is_direct() => RelayTarget::Unreachable,
            Some(known) => RelayTarget::Address(known.entry.address),
        }
    }
}
