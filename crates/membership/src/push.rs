//! Updates that are sent at once instead of with the next probe.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use carawayseam_types::Millis;
use carawayseam_wire::{GossipUpdate, Head, Item, Peer, PeerRole};

use crate::Action;
use crate::items::{Audience, audience, is_critical};
use crate::limits::{BULK_BURST_BYTES, BULK_BYTES_PER_SECOND, FANOUT, HOLDER_TTL, PACKET_OVERHEAD_BYTES};
use crate::membership::Membership;
use crate::parts::split;
use crate::peers::PeerId;
use crate::prober::sample;
use crate::updates::{UpdateKey, encoded_size};

/// Maximum length of a value and its name that fits into a datagram in addition to the sender.
pub(crate) const MAX_ITEM_BYTES: usize = 1_000;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Updates to be sent at once, and the byte budget of bulk updates.
#[derive(Debug, Default)]
pub(crate) struct PushQueue {
    pub(crate) critical: BTreeSet<UpdateKey>,
    bulk: VecDeque<UpdateKey>,
    /// The earliest time at which the budget covers the next bulk updates.
    next_bulk_at: Millis,
    /// Whether the state of this process is to be broadcast.
    pub(crate) presence_pending: bool,
    /// The budget in thousandths of a byte, so that short time steps are not rounded away.
    milli_bytes: u64,
}

impl PushQueue {
    /// Queues a bulk update; its value is looked up when it is sent.
    pub(crate) fn add_bulk(&mut self, key: UpdateKey) {
        if !self.bulk.contains(&key) {
            self.bulk.push_back(key);
        }
    }

    pub(crate) fn refill(&mut self, step: Millis) {
        let earned = step.0 * BULK_BYTES_PER_SECOND;
        self.milli_bytes = (self.milli_bytes + earned).min(BULK_BURST_BYTES * MILLIS_PER_SECOND);
    }

    /// Takes bytes from the budget, and returns whether it covered them.
    ///
    /// Updates larger than the maximum budget may be sent when the budget is full.
    fn try_spend(&mut self, now: Millis, bytes: usize) -> bool {
        let cost = (bytes as u64).min(BULK_BURST_BYTES) * MILLIS_PER_SECOND;
        let missing = cost.saturating_sub(self.milli_bytes);
        if missing > 0 {
            self.next_bulk_at = now + Millis(missing / BULK_BYTES_PER_SECOND);
            return false;
        }
        self.milli_bytes -= cost;
        true
    }
}

/// Bulk updates that go to the same processes.
#[derive(Debug, Default)]
struct Batch {
    keys: Vec<UpdateKey>,
    bytes: usize,
    targets: Vec<SocketAddr>,
    datagrams: Vec<Vec<GossipUpdate>>,
}

impl Membership {
    /// Queues an own or newly learnt value for its audience.
    pub(crate) fn disseminate_item(&mut self, item: &Item, is_own: bool) {
        let topic = item.key.topic;
        let is_for_everyone = audience(topic) == Audience::Everyone;
        if is_for_everyone {
            self.queue.enqueue(GossipUpdate::Item(item.clone()));
        }
        // With few live peers, the publisher has sent the value to all of them itself.
        let forwards = is_critical(topic) && self.peers.live().len() > self.max_broadcast_peers;
        let key = UpdateKey::Item(item.key.clone());
        match topic {
            _ if !is_own && !forwards => {}
            _ if is_critical(topic) => {
                self.push_queue.critical.insert(key);
            }
            _ => self.push_queue.add_bulk(key),
        }
    }

    /// Queues the head of a record that was just applied.
    pub(crate) fn disseminate_head(&mut self, head: Head) {
        self.rotation.mark_changed(&head.key);
        self.push_queue.add_bulk(UpdateKey::Head(head.key.clone()));
        self.queue.enqueue(GossipUpdate::Head(head));
    }

    pub(crate) fn push_critical(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.push_queue.presence_pending) {
            self.broadcast_presence(actions);
        }
        let keys = std::mem::take(&mut self.push_queue.critical);
        let updates: Vec<GossipUpdate> = keys.iter().filter_map(|key| self.current_update(key)).collect();
        if updates.is_empty() {
            return;
        }
        for to in self.broadcast_targets() {
            self.send_gossip(to, &updates, actions);
        }
    }

    /// Sends bulk updates as far as the budget allows; the rest wait, and newer values may replace them.
    pub(crate) fn push_bulk(&mut self, actions: &mut Vec<Action>) {
        while self.time >= self.push_queue.next_bulk_at {
            let Some(batch) = self.next_batch() else {
                return;
            };
            let overhead = self.header_size() + PACKET_OVERHEAD_BYTES;
            let bytes = batch.datagrams.len() * overhead + batch.bytes;
            if !self.push_queue.try_spend(self.time, batch.targets.len() * bytes) {
                for key in batch.keys.into_iter().rev() {
                    self.push_queue.bulk.push_front(key);
                }
                return;
            }
            let sends = |to| batch.datagrams.iter().map(move |updates| (to, updates));
            for (to, updates) in batch.targets.iter().flat_map(sends) {
                self.send_gossip(*to, updates, actions);
            }
        }
    }

    /// Takes the next bulk updates from the queue; those for all processes share a datagram.
    fn next_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut group = Vec::new();
        while let Some(key) = self.push_queue.bulk.pop_front() {
            let Some(update) = self.current_update(&key) else {
                continue;
            };
            let size = encoded_size(&update);
            let is_shared = Self::audience_of(&update) == Audience::Everyone;
            let fits = batch.keys.is_empty() || (is_shared && batch.bytes + size <= MAX_ITEM_BYTES);
            if !fits {
                self.push_queue.bulk.push_front(key);
                break;
            }
            batch.keys.push(key);
            batch.bytes += size;
            if !is_shared {
                batch.targets = self.targets(&update);
                batch.datagrams = split_update(update)
                    .into_iter()
                    .map(|update| vec![update])
                    .collect();
                return Some(batch);
            }
            group.push(update);
        }
        batch.targets = self.broadcast_targets();
        batch.datagrams = vec![group];
        (!batch.keys.is_empty()).then_some(batch)
    }

    /// Broadcasts the state of this process, which every datagram contains as its sender.
    fn broadcast_presence(&mut self, actions: &mut Vec<Action>) {
        for to in self.broadcast_targets() {
            self.send_gossip(to, &[], actions);
        }
    }

    fn current_update(&self, key: &UpdateKey) -> Option<GossipUpdate> {
        match key {
            UpdateKey::Peer(id) => self.peers.get(id).cloned().map(GossipUpdate::Peer),
            UpdateKey::Head(key) => self
                .records
                .get(key)
                .map(|record| GossipUpdate::Head(record.head.clone())),
            UpdateKey::Item(key) => self.items.get(key).cloned().map(GossipUpdate::Item),
        }
    }

    const fn audience_of(update: &GossipUpdate) -> Audience {
        match update {
            GossipUpdate::Item(item) => audience(item.key.topic),
            GossipUpdate::Peer(_) | GossipUpdate::Head(_) | GossipUpdate::Part(_) => Audience::Everyone,
        }
    }

    fn targets(&mut self, update: &GossipUpdate) -> Vec<SocketAddr> {
        match Self::audience_of(update) {
            Audience::Everyone => self.broadcast_targets(),
            Audience::EntryHosts => self.entry_targets(),
            Audience::Holders => self.holder_targets(),
        }
    }

    /// Returns the addresses of all live peers, or of [`FANOUT`] random ones of any zone if there are many.
    fn broadcast_targets(&mut self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        if live.len() <= self.max_broadcast_peers {
            return live.iter().map(|peer| peer.address).collect();
        }
        let targets = sample(live, FANOUT, &mut self.rng);
        targets.iter().map(|peer| peer.address).collect()
    }

    fn entry_targets(&self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        let is_in_scope =
            |peer: &&Peer| live.len() <= self.max_broadcast_peers || peer.zone == self.peers.me.zone;
        live.iter()
            .filter(|peer| peer.role == PeerRole::Entry)
            .filter(is_in_scope)
            .map(|peer| peer.address)
            .collect()
    }

    /// Returns the addresses of the lease holders.
    ///
    /// With few live peers these are all control processes, so that the next
    /// holder has the values as well.
    fn holder_targets(&self) -> Vec<SocketAddr> {
        let live = self.peers.live();
        let is_holder = |peer: &Peer| {
            let last_seen = self.holders.get(&PeerId::of(peer));
            last_seen.is_some_and(|at| self.time.since(*at) <= HOLDER_TTL)
        };
        live.iter()
            .filter(|peer| peer.role == PeerRole::Control)
            .filter(|peer| live.len() <= self.max_broadcast_peers || is_holder(peer))
            .map(|peer| peer.address)
            .collect()
    }
}

/// Splits an update into updates that each fit into a datagram.
fn split_update(update: GossipUpdate) -> Vec<GossipUpdate> {
    match update {
        GossipUpdate::Item(item) => split(&item),
        other => vec![other],
    }
}
