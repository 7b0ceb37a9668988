//! Gossip updates that are piggybacked on datagrams, each a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_wire::{GossipUpdate, ItemKey, RecordKey, encode};

use crate::peers::PeerId;

/// The subject of an update; a newer update replaces an older one with the same key.
///
/// Among updates sent equally often, those about records go first, because the
/// loss of a zone or a partition creates updates about hundreds of peers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateKey {
    Head(RecordKey),
    Item(ItemKey),
    Peer(PeerId),
}

impl UpdateKey {
    pub(crate) fn of(update: &GossipUpdate) -> Self {
        match update {
            GossipUpdate::Peer(peer) => Self::Peer(PeerId::of(peer)),
            GossipUpdate::Head(head) => Self::Head(head.key.clone()),
            GossipUpdate::Item(item) => Self::Item(item.key.clone()),
            GossipUpdate::Part(part) => Self::Item(part.key.clone()),
        }
    }
}

/// Returns the encoded size of an update in bytes.
pub(crate) fn encoded_size(update: &GossipUpdate) -> usize {
    // `encode` puts a version byte in front, which an update within a datagram does not have.
    encode(update).map_or(usize::MAX, |buf| buf.len() - 1)
}

/// The updates of one datagram while it is being filled.
#[derive(Debug)]
pub(crate) struct Bundle {
    pub(crate) updates: Vec<GossipUpdate>,
    remaining: usize,
}

impl Bundle {
    pub(crate) const fn new(remaining: usize) -> Self {
        Self {
            updates: Vec::new(),
            remaining,
        }
    }

    /// Adds an update if it fits and is not in the bundle yet, and returns whether it did.
    pub(crate) fn add(&mut self, update: &GossipUpdate, size: usize) -> bool {
        if size > self.remaining || self.updates.contains(update) {
            return false;
        }
        self.remaining -= size;
        self.updates.push(update.clone());
        true
    }

    /// Bounds the bytes that may still be added.
    pub(crate) fn limit(&mut self, bytes: usize) {
        self.remaining = self.remaining.min(bytes);
    }

    pub(crate) const fn remaining(&self) -> usize {
        self.remaining
    }
}

#[derive(Debug)]
struct QueuedUpdate {
    update: GossipUpdate,
    size: usize,
    sent: u32,
}

/// Updates ordered by how many times they were sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    entries: BTreeMap<UpdateKey, QueuedUpdate>,
    order: BTreeSet<(u32, UpdateKey)>,
}

impl UpdateQueue {
    /// Queues an update, replacing an older one with the same key.
    pub(crate) fn enqueue(&mut self, update: GossipUpdate) {
        let key = UpdateKey::of(&update);
        let size = encoded_size(&update);
        let queued = QueuedUpdate {
            update,
            size,
            sent: 0,
        };
        if let Some(old) = self.entries.insert(key.clone(), queued) {
            self.order.remove(&(old.sent, key.clone()));
        }
        self.order.insert((0, key));
    }

    /// Fills a bundle with the least sent updates first, and drops those now sent `limit` times.
    pub(crate) fn fill(&mut self, bundle: &mut Bundle, limit: u32) {
        let mut added = Vec::new();
        for (_, key) in &self.order {
            let Some(queued) = self.entries.get(key) else {
                continue;
            };
            if bundle.add(&queued.update, queued.size) {
                added.push(key.clone());
            }
            if bundle.remaining() < MIN_UPDATE_BYTES {
                break;
            }
        }
        for key in added {
            self.count_sent(key, limit);
        }
    }

    fn count_sent(&mut self, key: UpdateKey, limit: u32) {
        let Some(queued) = self.entries.get_mut(&key) else {
            return;
        };
        self.order.remove(&(queued.sent, key.clone()));
        queued.sent += 1;
        if queued.sent >= limit {
            self.entries.remove(&key);
        } else {
            self.order.insert((queued.sent, key));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Lower bound of an update's encoded size; a bundle with less space left is full.
const MIN_UPDATE_BYTES: usize = 12;
