//! Sending of datagrams and the updates piggybacked on them.

use std::net::SocketAddr;

use carawayseam_wire::{Body, Datagram, GossipUpdate, MAX_DATAGRAM_BYTES, Peer, PeerState, encode};

use crate::Action;
use crate::items::{Audience, audience};
use crate::limits::{INDIRECT_PROBES, MAX_PROBE_UPDATE_BYTES, MAX_TRANSFER_DATAGRAMS, RETRANSMIT_FACTOR};
use crate::membership::Membership;
use crate::peers::PeerId;
use crate::prober::sample;
use crate::updates::{Bundle, encoded_size};

/// Bytes that the length of the update list may take beyond the one byte of an empty list.
const LIST_LENGTH_BYTES: usize = 1;

impl Membership {
    /// Sends to a peer.
    ///
    /// If the peer is not considered alive, the first update holds its state, so
    /// that it can refute it.
    pub(crate) fn send(&mut self, to: &Peer, body: Body, actions: &mut Vec<Action>) {
        let mut bundle = Bundle::new(MAX_PROBE_UPDATE_BYTES);
        let not_alive = self
            .peers
            .get(&PeerId::of(to))
            .filter(|peer| peer.state != PeerState::Alive);
        if let Some(peer) = not_alive {
            let update = GossipUpdate::Peer(peer.clone());
            bundle.add(&update, encoded_size(&update));
        }
        self.fill_and_send(to.address, body, bundle, actions);
    }

    /// Sends to an address whose peer may not be known.
    pub(crate) fn send_to(&mut self, to: SocketAddr, body: Body, actions: &mut Vec<Action>) {
        let known = self.peers.all().find(|peer| peer.address == to).cloned();
        if let Some(peer) = known {
            self.send(&peer, body, actions);
            return;
        }
        self.fill_and_send(to, body, Bundle::new(MAX_PROBE_UPDATE_BYTES), actions);
    }

    /// Sends with `peer` as the first update.
    pub(crate) fn send_about(&mut self, to: SocketAddr, body: Body, peer: Peer, actions: &mut Vec<Action>) {
        let mut bundle = Bundle::new(MAX_PROBE_UPDATE_BYTES);
        let update = GossipUpdate::Peer(peer);
        bundle.add(&update, encoded_size(&update));
        self.fill_and_send(to, body, bundle, actions);
    }

    /// Sends a datagram with only the given updates.
    pub(crate) fn send_gossip(
        &mut self,
        to: SocketAddr,
        updates: &[GossipUpdate],
        actions: &mut Vec<Action>,
    ) {
        if !self.send_budget.covers_datagram() {
            return;
        }
        let mut bundle = self.bundle(&Body::Gossip);
        for update in updates {
            bundle.add(update, encoded_size(update));
        }
        self.send_datagram(to, Body::Gossip, bundle, actions);
    }

    /// Asks [`INDIRECT_PROBES`] random peers to probe one that did not answer.
    pub(crate) fn request_indirect_probes(&mut self, seq: u64, target: &Peer, actions: &mut Vec<Action>) {
        let helpers: Vec<Peer> = sample(self.peers.live(), INDIRECT_PROBES + 1, &mut self.rng);
        let helpers = helpers.into_iter().filter(|peer| peer.address != target.address);
        let target = target.address;
        for helper in helpers.take(INDIRECT_PROBES) {
            self.send(&helper, Body::IndirectProbe { seq, target }, actions);
        }
    }

    /// Sends all known heads, peers and values to a joining process.
    ///
    /// At most [`MAX_TRANSFER_DATAGRAMS`] are sent; updates that do not fit are
    /// left to gossip.
    pub(crate) fn send_all_known(&mut self, to: &Peer, actions: &mut Vec<Action>) {
        let heads = self.records.heads().cloned().map(GossipUpdate::Head);
        let is_same_zone = |peer: &&Peer| peer.zone == to.zone;
        let live = self.peers.live();
        let same_zone_first = live
            .iter()
            .filter(is_same_zone)
            .chain(live.iter().filter(|peer| !is_same_zone(peer)));
        let peers = same_zone_first.cloned().map(GossipUpdate::Peer);
        let for_everyone = self
            .items
            .all()
            .filter(|item| audience(item.key.topic) == Audience::Everyone);
        let items = for_everyone.cloned().map(GossipUpdate::Item);
        let mut pending: Vec<(GossipUpdate, usize)> = heads
            .chain(peers)
            .chain(items)
            .map(|update| {
                let size = encoded_size(&update);
                (update, size)
            })
            .collect();
        let count = self.records.heads().count() as u64;
        for datagram in 0..MAX_TRANSFER_DATAGRAMS {
            let body = if datagram == 0 {
                Body::JoinReply { heads: count }
            } else {
                Body::Gossip
            };
            let mut bundle = self.bundle(&body);
            pending.retain(|(update, size)| !bundle.add(update, *size));
            self.send_datagram(to.address, body, bundle, actions);
            if pending.is_empty() {
                return;
            }
        }
    }

    /// Returns the size of a datagram without updates.
    pub(crate) fn header_size(&self) -> usize {
        self.size_without_updates(&Body::Gossip)
    }

    fn size_without_updates(&self, body: &Body) -> usize {
        let datagram = Datagram {
            from: self.peers.me.clone(),
            body: body.clone(),
            updates: Vec::new(),
        };
        encode(&datagram).map_or(MAX_DATAGRAM_BYTES, |buf| buf.len())
    }

    fn bundle(&self, body: &Body) -> Bundle {
        Bundle::new(MAX_DATAGRAM_BYTES.saturating_sub(self.size_without_updates(body) + LIST_LENGTH_BYTES))
    }

    /// Fills the bundle with updates of the rotation and the queue, and sends it.
    ///
    /// The rotation comes first, so that records are not delayed when the queue is long.
    fn fill_and_send(&mut self, to: SocketAddr, body: Body, mut bundle: Bundle, actions: &mut Vec<Action>) {
        // Without an ack, the peer takes this process for lost.
        if !matches!(body, Body::Ack { .. }) && !self.send_budget.covers_datagram() {
            return;
        }
        let header = self.size_without_updates(&body) + LIST_LENGTH_BYTES;
        bundle.limit(self.send_budget.remaining_bytes().saturating_sub(header));
        let peers = self.peers.live().len() as u32 + 1;
        let limit = RETRANSMIT_FACTOR * (peers.ilog2() + 1);
        self.rotation
            .fill(&mut bundle, &self.peers, &self.records, &self.items);
        self.queue.fill(&mut bundle, limit);
        self.send_datagram(to, body, bundle, actions);
    }

    fn send_datagram(&mut self, to: SocketAddr, body: Body, bundle: Bundle, actions: &mut Vec<Action>) {
        let datagram = self.datagram(body, bundle);
        self.send_budget
            .spend(encode(&datagram).map_or(MAX_DATAGRAM_BYTES, |buf| buf.len()));
        actions.push(Action::Send { to, datagram });
    }

    fn datagram(&self, body: Body, bundle: Bundle) -> Datagram {
        Datagram {
            from: self.peers.me.clone(),
            body,
            updates: bundle.updates,
        }
    }
}
