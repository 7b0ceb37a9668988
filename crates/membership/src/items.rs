//! The newest published values, and the rules of each topic.

use std::collections::BTreeMap;

use carawayseam_types::Incarnation;
use carawayseam_wire::{Item, ItemKey, Peer, Topic};

use crate::parts::MAX_PARTS;
use crate::peers::PeerId;
use crate::push::MAX_ITEM_BYTES;

/// The processes that receive a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// All processes, including those that join later.
    Everyone,
    /// Entry processes; a lost value is soon replaced by a newer one.
    EntryHosts,
    /// Holders of control leases.
    Holders,
}

/// Returns which processes receive the values of a topic.
pub(crate) const fn audience(topic: Topic) -> Audience {
    match topic {
        Topic::Poison | Topic::Stopped | Topic::Holder | Topic::EngineStatus => Audience::Everyone,
        Topic::PoolLoad => Audience::EntryHosts,
        Topic::Evidence | Topic::Confirmed => Audience::Holders,
    }
}

/// Returns the maximum length of a value of a topic, including its name, in bytes.
///
/// Values for all processes have to fit into one datagram, because rotation
/// repeats them.
pub(crate) const fn max_value_bytes(topic: Topic) -> usize {
    match audience(topic) {
        Audience::Everyone => MAX_ITEM_BYTES,
        Audience::EntryHosts | Audience::Holders => MAX_ITEM_BYTES * MAX_PARTS / 2,
    }
}

/// Returns whether values of a topic are sent at once, outside the byte budget of bulk updates.
pub(crate) const fn is_critical(topic: Topic) -> bool {
    matches!(topic, Topic::Poison | Topic::Stopped)
}

/// The newest known values.
#[derive(Debug, Default)]
pub(crate) struct Items {
    items: BTreeMap<ItemKey, Item>,
}

impl Items {
    /// Stores a value if it is newer than the known one, and returns whether it did.
    pub(crate) fn learn(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key).map(precedence);
        if known.is_some_and(|known| known >= precedence(item)) {
            return false;
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    /// Stores a value of this process under the next sequence number and returns it.
    pub(crate) fn publish(&mut self, me: &Peer, topic: Topic, name: String, payload: Vec<u8>) -> Item {
        let key = ItemKey {
            host: me.host.clone(),
            role: me.role,
            topic,
            name,
        };
        let item = Item {
            seq: self.items.get(&key).map_or(0, |item| item.seq + 1),
            incarnation: me.incarnation,
            key,
            payload,
        };
        self.items.insert(item.key.clone(), item.clone());
        item
    }

    /// Updates the values of this process to its new incarnation and returns them.
    ///
    /// Otherwise, values from before a restart would take precedence over them.
    pub(crate) fn restamp(&mut self, me: &Peer) -> Vec<Item> {
        let id = PeerId::of(me);
        let is_old = |item: &&mut Item| PeerId::publisher(item) == id && item.incarnation < me.incarnation;
        self.items
            .values_mut()
            .filter(is_old)
            .map(|item| {
                item.incarnation = me.incarnation;
                item.clone()
            })
            .collect()
    }

    /// Removes values whose publisher is no longer known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&PeerId) -> bool) {
        self.items.retain(|_, item| is_known(&PeerId::publisher(item)));
    }

    pub(crate) fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the value after `cursor` in key order, wrapping around at the end.
    pub(crate) fn next_after(&self, cursor: Option<&ItemKey>) -> Option<&Item> {
        use std::ops::Bound::{Excluded, Unbounded};
        let rest = cursor.and_then(|key| self.items.range((Excluded(key), Unbounded)).next());
        rest.or_else(|| self.items.iter().next()).map(|(_, item)| item)
    }
}

const fn precedence(item: &Item) -> (Incarnation, u64) {
    (item.incarnation, item.seq)
}
