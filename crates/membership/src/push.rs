//! News that does not wait for the next probe.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use carawayseam_types::Millis;
use carawayseam_wire::{GossipUpdate, Head, Item, Peer, PeerRole};

use crate::Action;
use crate::items::{Audience, audience, is_critical};
use crate::limits::{
    BULK_BURST_BYTES, BULK_BYTES_PER_SECOND, FANOUT, HOLDER_FRESH, PACKET_OVERHEAD_BYTES, SMALL_SIZE,
};
use crate::membership::Membership;
use crate::news::{NewsKey, size_of};
use crate::parts::split;
use crate::peers::PeerId;
use crate::prober::sample;

/// The longest value, with its name, that fits into a datagram beside its sender.
pub(crate) const MAX_ITEM_BYTES: usize = 1_000;

const MILLIS_PER_SECOND: u64 = 1_000;

/// What is to be sent at once, and the bytes that may be spent on it.
#[derive(Debug, Default)]
pub(crate) struct Pushes {
    pub(crate) critical: BTreeSet<NewsKey>,
    bulk: VecDeque<NewsKey>,
    /// No frequent news goes before the bytes for the next of it are earned.
    bulk_after: Millis,
    /// Whether to tell how this process stands.
    pub(crate) presence: bool,
    /// Thousandths of a byte, so that short steps of time are not lost.
    milli_bytes: u64,
}

impl Pushes {
    /// Queues frequent news; its value is looked up when it goes.
    pub(crate) fn add_bulk(&mut self, key: NewsKey) {
        if !self.bulk.contains(&key) {
            self.bulk.push_back(key);
        }
    }

    pub(crate) fn refill(&mut self, step: Millis) {
        let earned = step.0 * BULK_BYTES_PER_SECOND;
        self.milli_bytes = (self.milli_bytes + earned).min(BULK_BURST_BYTES * MILLIS_PER_SECOND);
    }

    /// Spends bytes; what is too dear for any burst may go when the burst is full.
    fn spend(&mut self, now: Millis, bytes: usize) -> bool {
        let cost = (bytes as u64).min(BULK_BURST_BYTES) * MILLIS_PER_SECOND;
        let missing = cost.saturating_sub(self.milli_bytes);
        if missing > 0 {
            self.bulk_after = now + Millis(missing / BULK_BYTES_PER_SECOND);
            return false;
        }
        self.milli_bytes -= cost;
        true
    }
}

/// Frequent news that goes to the same processes.
#[derive(Debug, Default)]
struct Batch {
    keys: Vec<NewsKey>,
    bytes: usize,
    targets: Vec<SocketAddr>,
    datagrams: Vec<Vec<GossipUpdate>>,
}

impl Membership {
    /// Sends an own or just learnt value to those whom it is for.
    pub(crate) fn spread_item(&mut self, item: &Item, is_own: bool) {
        let topic = item.key.topic;
        let is_for_everyone = audience(topic) == Audience::Everyone;
        if is_for_everyone {
            self.queue.offer(GossipUpdate::Item(item.clone()));
        }
        // At a small size the publisher has reached everyone by itself.
        let passes_on = is_critical(topic) && self.peers.live().len() > SMALL_SIZE;
        let key = NewsKey::Item(item.key.clone());
        match topic {
            _ if !is_own && !passes_on => {}
            _ if is_critical(topic) => {
                self.pushes.critical.insert(key);
            }
            _ => self.pushes.add_bulk(key),
        }
    }

    /// Tells of a record that has just come into force here.
    pub(crate) fn spread_head(&mut self, head: Head) {
        self.rotation.changed(&head.key);
        self.pushes.add_bulk(NewsKey::Head(head.key.clone()));
        self.queue.offer(GossipUpdate::Head(head));
    }

    pub(crate) fn push_critical(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.pushes.presence) {
            self.broadcast_presence(actions);
        }
        let keys = std::mem::take(&mut self.pushes.critical);
        let news: Vec<GossipUpdate> = keys.iter().filter_map(|key| self.current(key)).collect();
        if news.is_empty() {
            return;
        }
        for to in self.everyone_at_once() {
            self.gossip(to, &news, actions);
        }
    }

    /// Sends frequent news as far as its bytes allow; the rest waits and may be replaced.
    pub(crate) fn push_bulk(&mut self, actions: &mut Vec<Action>) {
        while self.time >= self.pushes.bulk_after {
            let Some(batch) = self.next_batch() else {
                return;
            };
            let overhead = self.header_size() + PACKET_OVERHEAD_BYTES;
            let bytes = batch.datagrams.len() * overhead + batch.bytes;
            if !self.pushes.spend(self.time, batch.targets.len() * bytes) {
                for key in batch.keys.into_iter().rev() {
                    self.pushes.bulk.push_front(key);
                }
                return;
            }
            let each = |to| batch.datagrams.iter().map(move |news| (to, news));
            for (to, news) in batch.targets.iter().flat_map(each) {
                self.gossip(*to, news, actions);
            }
        }
    }

    /// Takes the next news; what is for everyone shares a datagram.
    fn next_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut group = Vec::new();
        while let Some(key) = self.pushes.bulk.pop_front() {
            let Some(news) = self.current(&key) else {
                continue;
            };
            let size = size_of(&news);
            let is_shared = Self::audience_of(&news) == Audience::Everyone;
            let fits = batch.keys.is_empty() || (is_shared && batch.bytes + size <= MAX_ITEM_BYTES);
            if !fits {
                self.pushes.bulk.push_front(key);
                break;
            }
            batch.keys.push(key);
            batch.bytes += size;
            if !is_shared {
                batch.targets = self.targets(&news);
                batch.datagrams = pieces_of(news).into_iter().map(|piece| vec![piece]).collect();
                return Some(batch);
            }
            group.push(news);
        }
        batch.targets = self.everyone_at_once();
        batch.datagrams = vec![group];
        (!batch.keys.is_empty()).then_some(batch)
    }

    /// Tells how this process stands; each datagram's sender says it.
    fn broadcast_presence(&mut self, actions: &mut Vec<Action>) {
        for to in self.everyone_at_once() {
            self.gossip(to, &[], actions);
        }
    }

    fn current(&self, key: &NewsKey) -> Option<GossipUpdate> {
        match key {
            NewsKey::Peer(id) => self.peers.get(id).cloned().map(GossipUpdate::Peer),
            NewsKey::Head(key) => self
                .records
                .get(key)
                .map(|record| GossipUpdate::Head(record.head.clone())),
            NewsKey::Item(key) => self.items.get(key).cloned().map(GossipUpdate::Item),
        }
    }

    const fn audience_of(news: &GossipUpdate) -> Audience {
        match news {
            GossipUpdate::Item(item) => audience(item.key.topic),
            GossipUpdate::Peer(_) | GossipUpdate::Head(_) | GossipUpdate::Part(_) => Audience::Everyone,
        }
    }

    fn targets(&mut self, news: &GossipUpdate) -> Vec<SocketAddr> {
        match Self::audience_of(news) {
            Audience::Everyone => self.everyone_at_once(),
            Audience::EntryHosts => self.entry_hosts(),
            Audience::Holders => self.lease_holders(),
        }
    }

    /// All live peers at a small size; else a few, own zone and others alike.
    fn everyone_at_once(&mut self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        if live.len() <= SMALL_SIZE {
            return live.iter().map(|peer| peer.address).collect();
        }
        let targets = sample(live, FANOUT, &mut self.rng);
        targets.iter().map(|peer| peer.address).collect()
    }

    fn entry_hosts(&self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        let is_near = |peer: &&Peer| live.len() <= SMALL_SIZE || peer.zone == self.peers.me.zone;
        live.iter()
            .filter(|peer| peer.role == PeerRole::Entry)
            .filter(is_near)
            .map(|peer| peer.address)
            .collect()
    }

    /// Holders of leases; at a small size all control processes, one of which holds next.
    fn lease_holders(&self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        let is_holder = |peer: &Peer| {
            let seen = self.holders.get(&PeerId::of(peer));
            seen.is_some_and(|at| self.time.since(*at) <= HOLDER_FRESH)
        };
        live.iter()
            .filter(|peer| peer.role == PeerRole::Control)
            .filter(|peer| live.len() <= SMALL_SIZE || is_holder(peer))
            .map(|peer| peer.address)
            .collect()
    }
}

/// The pieces of news that carry one piece, each short enough for a datagram.
fn pieces_of(news: GossipUpdate) -> Vec<GossipUpdate> {
    match news {
        GossipUpdate::Item(item) => split(&item),
        other => vec![other],
    }
}
