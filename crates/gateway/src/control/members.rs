//! Which hosts of a large fleet are live, by probes of a few of them at a time.
//!
//! Small fleets know it from heartbeats of all hosts. Here each host probes one other at a time, and what one host
//! finds out spreads with the probes of all, so that the cost does not grow with the fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use carawayseam_membership::{Action, Event, Membership, MembershipConfig, SendLimit, Timing};
use carawayseam_types::{HostId, Incarnation, Millis, ZoneId};
use carawayseam_wire::{Datagram, Peer, PeerMessage, PeerRole, PeerState};

/// A lost host is out of use within 3 s, since requests to it time out meanwhile.
const TIMING: Timing = Timing {
    probe_period: Millis(200),
    direct_timeout: Millis(150),
    probe_timeout: Millis(400),
    suspicion_timeout: Millis(600),
};
/// Urgent changes are sent to a few hosts at once, whatever the size of the fleet.
const MAX_BROADCAST_PEERS: usize = 0;

/// On average over some seconds, at most 12 datagrams and 4 kB a second, whatever the size of the fleet and its
/// failures; acks are always sent.
const SEND_LIMIT: SendLimit = SendLimit {
    datagrams_per_second: 11,
    bytes_per_second: 3_600,
    burst: Millis(500),
};

/// A host as the store lists it.
#[derive(Debug, Clone)]
pub(super) struct ListedHost {
    pub(super) host: HostId,
    pub(super) zone: ZoneId,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
}

/// The hosts of a large fleet, as far as their membership is concerned.
#[derive(Debug)]
pub(super) struct Members(Membership);

impl Members {
    /// Creates the membership of this host.
    pub(super) fn new(me: ListedHost) -> Self {
        let ListedHost {
            host,
            zone,
            address,
            incarnation,
        } = me;
        let config = MembershipConfig::new(host, PeerRole::Gateway, zone, address, incarnation)
            .timing(TIMING)
            .max_broadcast_peers(MAX_BROADCAST_PEERS)
            .without_joins()
            .send_limit(SEND_LIMIT)
            .seed(incarnation.0);
        Self(Membership::new(config))
    }

    /// Replaces the listed hosts, without those of earlier builds, which do not answer probes.
    pub(super) fn set_listed(&mut self, now: Millis, hosts: impl Iterator<Item = ListedHost>) {
        let peers = hosts.map(|listed| Peer {
            host: listed.host,
            role: PeerRole::Gateway,
            zone: listed.zone,
            address: listed.address,
            incarnation: listed.incarnation,
            state: PeerState::Alive,
        });
        self.0
            .handle(now, Event::Listed(peers.collect()), &mut Vec::new());
    }

    /// Handles a peer's datagram and returns the responses.
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        datagram: Datagram,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        self.handle(now, Event::Datagram { from, datagram })
    }

    /// Advances the time and returns the probes that are due.
    pub(super) fn tick(&mut self, now: Millis) -> Vec<(SocketAddr, PeerMessage)> {
        self.handle(now, Event::Tick)
    }

    fn handle(&mut self, now: Millis, event: Event) -> Vec<(SocketAddr, PeerMessage)> {
        let mut actions = Vec::new();
        self.0.handle(now, event, &mut actions);
        let messages = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, datagram } => Some((to, PeerMessage::Membership(datagram))),
            Action::Refuse(refusal) => {
                log::debug!("membership update refused: {refusal}");
                None
            }
            Action::Peers(_) | Action::Pull { .. } | Action::Apply(_) | Action::Deliver(_) => None,
        });
        messages.collect()
    }

    /// Returns the hosts that are alive, other than this one; none if this host is isolated.
    pub(super) fn alive(&self) -> BTreeSet<HostId> {
        if self.0.is_isolated() {
            return BTreeSet::new();
        }
        self.0.alive().map(|peer| peer.host.clone()).collect()
    }

    /// Returns the hosts that are alive or only suspected, other than this one; none if this host is isolated.
    pub(super) fn live(&self) -> BTreeSet<HostId> {
        if self.0.is_isolated() {
            return BTreeSet::new();
        }
        let live = self.0.live().iter();
        let heard = live.filter(|peer| !self.0.is_cut_off_from(&peer.zone));
        heard.map(|peer| peer.host.clone()).collect()
    }

    /// Returns by how much this host takes itself for slow; 0 is healthy.
    pub(super) const fn local_health(&self) -> u32 {
        self.0.local_health()
    }
}
