//! The configuration of a membership.

use std::net::SocketAddr;

use carawayseam_types::{HostId, Incarnation, ZoneId};
use carawayseam_wire::{Peer, PeerRole, PeerState};

/// The configuration of a [`Membership`](crate::Membership).
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    pub(crate) me: Peer,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) seed: u64,
    pub(crate) known: Vec<Peer>,
}

impl MembershipConfig {
    /// Creates a configuration from the identity, address and incarnation of this process.
    #[must_use]
    pub const fn new(
        host: HostId,
        role: PeerRole,
        zone: ZoneId,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        let state = PeerState::Alive;
        let me = Peer {
            host,
            role,
            zone,
            address,
            incarnation,
            state,
        };
        Self {
            me,
            seeds: Vec::new(),
            seed: 0,
            known: Vec::new(),
        }
    }

    /// Sets the addresses that are probed from the start.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets peers that are known from the start.
    ///
    /// They count as known to each other as well; simulations use this to begin
    /// with processes that have been running for a long time.
    #[must_use]
    pub fn known(mut self, peers: Vec<Peer>) -> Self {
        self.known = peers;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
