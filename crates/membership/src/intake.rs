//! What a datagram changes.

use std::net::SocketAddr;

use carawayseam_wire::{Body, Datagram, GossipUpdate, Item, Peer, Topic};

use crate::items::is_critical;
use crate::limits::{CAUGHT_UP_PEERS, HOST_LIST_FRESH};
use crate::membership::Membership;
use crate::peers::{Merge, PeerId};
use crate::{Action, Refusal};

impl Membership {
    pub(crate) fn take_datagram(&mut self, from: SocketAddr, datagram: Datagram, actions: &mut Vec<Action>) {
        let Datagram {
            from: sender,
            body,
            updates: news,
        } = datagram;
        if !self.admits(from, &sender) {
            self.refuse(Refusal::UnknownHost { from }, actions);
            return;
        }
        self.merge(&sender);
        let reported = self.reported_peer(&sender, &news);
        for piece in news {
            self.take_news(sender.address, piece, actions);
        }
        self.take_body(&sender, &body, reported, actions);
    }

    /// Whether the sender is known in any way.
    ///
    /// Without a fresh host list a newcomer cannot be told from a stranger;
    /// joining during the list's outage matters more.
    fn admits(&self, from: SocketAddr, sender: &Peer) -> bool {
        let list_is_stale = self
            .hosts_read_at
            .is_none_or(|at| self.time.since(at) > HOST_LIST_FRESH);
        list_is_stale
            || sender.host == self.peers.me.host
            || self.hosts.contains_key(&sender.host)
            || self.seeds.contains(&from)
            || self.peers.get(&PeerId::of(sender)).is_some()
    }

    fn take_body(&mut self, sender: &Peer, body: &Body, reported: Option<PeerId>, actions: &mut Vec<Action>) {
        let to = sender.address;
        match *body {
            Body::Probe { seq } => self.send(sender, Body::Ack { seq }, actions),
            Body::Join { seq } => {
                self.send(sender, Body::Ack { seq }, actions);
                self.transfer(sender, actions);
            }
            Body::JoinReply { heads } => self.note_told(sender, heads),
            Body::Ack { seq } => {
                if let Some((asker, ack)) = self.prober.relayed(seq) {
                    self.send_about(asker, ack, sender.clone(), actions);
                }
                let answered = reported.unwrap_or_else(|| PeerId::of(sender));
                self.prober.answered(seq, &PeerId::of(sender));
                self.prober.answered(seq, &answered);
            }
            Body::IndirectProbe { seq, target } => {
                let seq = self.prober.relay(self.time, to, seq);
                self.send_to(target, Body::Probe { seq }, actions);
            }
            Body::Gossip => {}
        }
    }

    /// The peer that a relayed answer is about: the first piece of its news.
    ///
    /// A process that took over a dead one's address speaks for itself only.
    fn reported_peer(&self, sender: &Peer, news: &[GossipUpdate]) -> Option<PeerId> {
        let Some(GossipUpdate::Peer(peer)) = news.first() else {
            return None;
        };
        let id = PeerId::of(peer);
        let known = self.peers.get(&id)?;
        (known.address != sender.address).then_some(id)
    }

    /// Counts a peer that told all its heads; if some were lost, it will be asked again.
    fn note_told(&mut self, sender: &Peer, heads: u64) {
        let known = self.records.heads().count() + self.records.wanted();
        if self.heard.len() < CAUGHT_UP_PEERS && known as u64 >= heads {
            self.heard.insert(PeerId::of(sender));
        }
    }

    fn take_news(&mut self, from: SocketAddr, news: GossipUpdate, actions: &mut Vec<Action>) {
        match news {
            GossipUpdate::Peer(peer) => self.merge(&peer),
            GossipUpdate::Head(head) => self.hear(from, &head, actions),
            GossipUpdate::Item(item) => self.take_item(item, actions),
            GossipUpdate::Part(part) => {
                if let Some(item) = self.assemblies.take(part) {
                    self.take_item(item, actions);
                }
            }
        }
    }

    fn take_item(&mut self, item: Item, actions: &mut Vec<Action>) {
        let publisher = PeerId::publisher(&item);
        if publisher == PeerId::of(&self.peers.me) || !self.items.learn(&item) {
            return;
        }
        if item.key.topic == Topic::Holder {
            self.note_holder(publisher);
        }
        // Those who tell a newcomer everything have told each other before.
        if is_critical(item.key.topic) || !self.is_joining() {
            self.spread_item(&item, false);
        }
        actions.push(Action::Deliver(item));
    }

    fn note_holder(&mut self, holder: PeerId) {
        if self.holders.insert(holder, self.time).is_none() {
            self.repeat_all();
        }
    }

    /// Merges news of a peer and passes on what is new.
    fn merge(&mut self, peer: &Peer) {
        match self.peers.merge(self.time, peer) {
            Merge::Stale => {}
            Merge::Joined | Merge::Changed => self.queue.offer(GossipUpdate::Peer(peer.clone())),
            Merge::Refuted => self.tell_new_incarnation(),
        }
    }

    fn tell_new_incarnation(&mut self) {
        self.queue.offer(GossipUpdate::Peer(self.peers.me.clone()));
        // Those who doubt this process should hear it before they bury it.
        self.pushes.presence = true;
        for item in self.items.restamp(&self.peers.me) {
            self.spread_item(&item, true);
        }
    }
}
