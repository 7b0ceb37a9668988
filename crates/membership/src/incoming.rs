//! Handling of received datagrams.

use std::net::SocketAddr;

use carawayseam_wire::{Body, Datagram, GossipUpdate, Item, Peer, Topic};

use crate::items::is_critical;
use crate::limits::{HOST_LIST_TTL, MIN_SYNCED_PEERS};
use crate::membership::Membership;
use crate::peers::{Merge, PeerId};
use crate::zone_contact::ZoneContact;
use crate::{Action, Refusal};

impl Membership {
    pub(crate) fn handle_datagram(
        &mut self,
        from: SocketAddr,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) {
        let Datagram {
            from: sender,
            body,
            updates,
        } = datagram;
        if !self.admits(from, &sender) {
            self.refuse(Refusal::UnknownHost { from }, actions);
            return;
        }
        self.last_datagram_at = self.time;
        if let Some(contact) = self.zone_contacts.get_mut(&sender.zone) {
            *contact = ZoneContact::at(self.time);
        }
        self.merge(&sender);
        let reported = self.reported_peer(&sender, &updates);
        for update in updates {
            self.apply_update(sender.address, update, actions);
        }
        self.handle_body(&sender, &body, reported, actions);
    }

    /// Returns whether datagrams of `sender` are accepted.
    ///
    /// Without a current host list, a new host cannot be distinguished from a
    /// foreign one. Such senders are accepted, so that hosts can join while the
    /// list is unavailable.
    fn admits(&self, from: SocketAddr, sender: &Peer) -> bool {
        let list_is_stale = self.listed.is_none()
            && self
                .hosts_read_at
                .is_none_or(|at| self.time.since(at) > HOST_LIST_TTL);
        list_is_stale
            || sender.host == self.peers.me.host
            || self.is_listed(&PeerId::of(sender))
            || self.hosts.contains_key(&sender.host)
            || self.seeds.contains(&from)
            || self.peers.get(&PeerId::of(sender)).is_some()
    }

    /// Returns whether the platform lists a process.
    fn is_listed(&self, id: &PeerId) -> bool {
        self.listed.as_ref().is_some_and(|listed| listed.contains(id))
    }

    fn handle_body(
        &mut self,
        sender: &Peer,
        body: &Body,
        reported: Option<PeerId>,
        actions: &mut Vec<Action>,
    ) {
        let to = sender.address;
        match *body {
            Body::Probe { seq } => self.send(sender, Body::Ack { seq }, actions),
            Body::Join { seq } => {
                self.send(sender, Body::Ack { seq }, actions);
                self.send_all_known(sender, actions);
            }
            Body::JoinReply { heads } => self.record_transfer(sender, heads),
            Body::Ack { seq } => {
                if let Some((requester, ack)) = self.prober.take_relayed_ack(seq) {
                    self.send_about(requester, ack, sender.clone(), actions);
                }
                let acked_peer = reported.unwrap_or_else(|| PeerId::of(sender));
                self.prober.record_ack(seq, &PeerId::of(sender));
                self.prober.record_ack(seq, &acked_peer);
            }
            Body::IndirectProbe { seq, target } => {
                let seq = self.prober.relay(self.time, to, seq);
                self.send_to(target, Body::Probe { seq }, actions);
            }
            Body::Gossip => {}
        }
    }

    /// Returns the peer that a relayed ack is about, which its first update names.
    ///
    /// None if that peer has the sender's own address: a process that took over
    /// the address of a dead one must not ack on its behalf.
    fn reported_peer(&self, sender: &Peer, updates: &[GossipUpdate]) -> Option<PeerId> {
        let Some(GossipUpdate::Peer(peer)) = updates.first() else {
            return None;
        };
        let id = PeerId::of(peer);
        let known = self.peers.get(&id)?;
        (known.address != sender.address).then_some(id)
    }

    /// Counts a peer as synced if all of its heads arrived; otherwise a later join requests them again.
    fn record_transfer(&mut self, sender: &Peer, heads: u64) {
        let known = self.records.heads().count() + self.records.missing_count();
        if self.synced_peers.len() < MIN_SYNCED_PEERS && known as u64 >= heads {
            self.synced_peers.insert(PeerId::of(sender));
        }
    }

    fn apply_update(&mut self, from: SocketAddr, update: GossipUpdate, actions: &mut Vec<Action>) {
        match update {
            GossipUpdate::Peer(peer) => self.merge(&peer),
            GossipUpdate::Head(head) => self.observe_head(from, &head, actions),
            GossipUpdate::Item(item) => self.apply_item(item, actions),
            GossipUpdate::Part(part) => {
                if let Some(item) = self.assemblies.add_part(part) {
                    self.apply_item(item, actions);
                }
            }
        }
    }

    fn apply_item(&mut self, item: Item, actions: &mut Vec<Action>) {
        let publisher = PeerId::publisher(&item);
        if publisher == PeerId::of(&self.peers.me) || !self.items.learn(&item) {
            return;
        }
        if item.key.topic == Topic::Holder {
            self.record_holder(publisher);
        }
        // A joining process receives only values that its peers already have.
        if is_critical(item.key.topic) || !self.is_joining() {
            self.disseminate_item(&item, false);
        }
        actions.push(Action::Deliver(item));
    }

    fn record_holder(&mut self, holder: PeerId) {
        if self.holders.insert(holder, self.time).is_none() {
            self.resend_all_directed();
        }
    }

    /// Merges an update about a peer, and forwards it if it is new.
    fn merge(&mut self, peer: &Peer) {
        let id = PeerId::of(peer);
        let is_known = id == PeerId::of(&self.peers.me) || self.peers.get(&id).is_some();
        // What peers say of a process that is not listed must not make it a peer.
        if self.listed.is_some() && !is_known && !self.is_listed(&id) {
            return;
        }
        match self.peers.merge(self.time, peer) {
            Merge::Stale => {}
            Merge::Joined | Merge::Changed => self.queue.enqueue(GossipUpdate::Peer(peer.clone())),
            Merge::Refuted => {
                self.prober.increment_local_health_score();
                self.announce_incarnation();
            }
        }
    }

    fn announce_incarnation(&mut self) {
        self.queue.enqueue(GossipUpdate::Peer(self.peers.me.clone()));
        // Peers that suspect this process must receive the refutation before they declare it dead.
        self.push_queue.presence_pending = true;
        for item in self.items.restamp(&self.peers.me) {
            self.disseminate_item(&item, true);
        }
    }
}
