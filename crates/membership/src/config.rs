//! The configuration of a membership.

use std::net::SocketAddr;

use carawayseam_types::{HostId, Incarnation, Millis, ZoneId};
use carawayseam_wire::{Peer, PeerRole, PeerState};

use crate::budget::SendLimit;

/// The periods and time-outs of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between probes; each goes to one random peer.
    pub probe_period: Millis,
    /// Time without an ack after which a probe is repeated through other peers.
    pub direct_timeout: Millis,
    /// Time without an ack after which the target of a probe becomes suspect.
    pub probe_timeout: Millis,
    /// Time after which a suspect that has not refuted is declared dead, multiplied by the number of decimal digits
    /// of the number of live peers.
    pub suspicion_timeout: Millis,
}

impl Timing {
    /// The timing unless another one is set.
    pub const DEFAULT: Self = Self {
        probe_period: Millis(500),
        direct_timeout: Millis(200),
        probe_timeout: Millis(600),
        suspicion_timeout: Millis(2_000),
    };
}

impl Default for Timing {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Maximum number of live peers at which urgent updates are sent to all of them at once, unless set otherwise.
const MAX_BROADCAST_PEERS: usize = 32;

/// The configuration of a [`Membership`](crate::Membership).
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    pub(crate) me: Peer,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) seed: u64,
    pub(crate) known: Vec<Peer>,
    pub(crate) timing: Timing,
    pub(crate) max_broadcast_peers: usize,
    pub(crate) joins: bool,
    pub(crate) send_limit: Option<SendLimit>,
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
            timing: Timing::DEFAULT,
            max_broadcast_peers: MAX_BROADCAST_PEERS,
            joins: true,
            send_limit: None,
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

    /// Sets the periods and time-outs of probes.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the number of live peers up to which urgent updates are sent to all of them at once.
    #[must_use]
    pub const fn max_broadcast_peers(mut self, peers: usize) -> Self {
        self.max_broadcast_peers = peers;
        self
    }

    /// Requests no transfer of all known state from peers.
    ///
    /// A process that spreads no records learns of its peers by [`Event::Listed`](crate::Event::Listed).
    #[must_use]
    pub const fn without_joins(mut self) -> Self {
        self.joins = false;
        self
    }

    /// Limits what is sent. Acks are always sent; probes and updates wait for the budget, and other datagrams are left out.
    #[must_use]
    pub const fn send_limit(mut self, limit: SendLimit) -> Self {
        self.send_limit = Some(limit);
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
