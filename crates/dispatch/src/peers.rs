//! The heartbeats of the other hosts, and which of these are live.

use std::collections::BTreeMap;

use carawayseam_types::{HostId, Incarnation, Millis};

/// Requests are sent only to peers whose last heartbeat is at most this old.
const REACHABLE_TIMEOUT: Millis = Millis(400);
/// A peer that said that it does not hear this host is believed for this time; it says so at each heartbeat.
const UNHEARD_TIMEOUT: Millis = Millis(300);
/// A peer is live if its last heartbeat is at most this old.
const LIVE_TIMEOUT: Millis = Millis(1_000);

/// The last heartbeat of a peer.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerState {
    incarnation: Incarnation,
    seq: u64,
    seen_at: Millis,
    /// When the peer last said that it does not hear this host.
    unheard_at: Option<Millis>,
    /// Whether the peer reported that it serves requests with keys.
    pub serves_keys: bool,
}

impl PeerState {
    /// Returns whether the peer is live.
    #[must_use]
    pub fn is_live(&self, now: Millis) -> bool {
        self.is_seen_within(now, LIVE_TIMEOUT)
    }

    /// Returns whether the peer can receive requests and this host its responses.
    ///
    /// Heartbeats may pass in one direction only. A host that hears a peer that does not hear it must not count on
    /// it, since the peer does not count on the host either: both would own what they share.
    #[must_use]
    pub fn is_reachable(&self, now: Millis) -> bool {
        let is_unheard = self.unheard_at.is_some_and(|at| now.since(at) <= UNHEARD_TIMEOUT);
        self.is_seen_within(now, REACHABLE_TIMEOUT) && !is_unheard
    }

    /// Returns whether the last heartbeat is at most `age` old.
    fn is_seen_within(&self, now: Millis, age: Millis) -> bool {
        now.since(self.seen_at) <= age
    }
}

/// The sender of a heartbeat, compared with the last one of the same host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The heartbeat is older than the last one, or of an earlier process.
    Outdated,
    /// The peer was live before, in the same process.
    Known,
    /// The peer was not live before, or its process started anew; it may have missed what others know.
    New,
}

/// The peers from which heartbeats were received.
#[derive(Debug, Default)]
pub struct Peers(BTreeMap<HostId, PeerState>);

impl Peers {
    /// Records a heartbeat.
    ///
    /// Incarnations are times of day, which may step back while a host restarts. Once a peer's last process is not
    /// live, the next one is accepted, whatever its incarnation.
    pub fn record_heartbeat(
        &mut self,
        now: Millis,
        host: &HostId,
        incarnation: Incarnation,
        seq: u64,
        serves_keys: bool,
    ) -> HeartbeatOrigin {
        let peer = self.0.entry(host.clone()).or_default();
        let is_older = if incarnation == peer.incarnation {
            seq <= peer.seq
        } else {
            incarnation < peer.incarnation && peer.is_live(now)
        };
        if is_older {
            return HeartbeatOrigin::Outdated;
        }
        let is_known = incarnation == peer.incarnation && peer.is_live(now);
        *peer = PeerState {
            incarnation,
            seq,
            seen_at: now,
            unheard_at: peer.unheard_at,
            serves_keys,
        };
        if is_known {
            HeartbeatOrigin::Known
        } else {
            HeartbeatOrigin::New
        }
    }

    /// Records that a peer said that it does not hear this host.
    pub fn record_unheard(&mut self, now: Millis, host: &HostId) {
        if let Some(peer) = self.0.get_mut(host) {
            peer.unheard_at = Some(now);
        }
    }

    /// Returns the peers that were heard once and are not now, so that they learn of it if they hear this host.
    pub fn unheard(&self, now: Millis) -> impl Iterator<Item = &HostId> {
        let unheard = self
            .0
            .iter()
            .filter(move |(_, peer)| !peer.is_seen_within(now, REACHABLE_TIMEOUT));
        unheard.map(|(host, _)| host)
    }

    /// Returns whether a host is live.
    #[must_use]
    pub fn is_live(&self, now: Millis, host: &HostId) -> bool {
        self.0.get(host).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns whether a process of a host is live.
    #[must_use]
    pub fn is_running(&self, now: Millis, host: &HostId, incarnation: Incarnation) -> bool {
        let peer = self.0.get(host);
        peer.is_some_and(|peer| peer.is_live(now) && peer.incarnation == incarnation)
    }

    /// Iterates over all peers from which a heartbeat was ever received.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &PeerState)> {
        self.0.iter()
    }

    /// Iterates over the live peers.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = (&HostId, &PeerState)> + Clone {
        self.0.iter().filter(move |(_, peer)| peer.is_live(now))
    }
}
