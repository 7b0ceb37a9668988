//! Published values, each the newest of its publisher.

use std::collections::BTreeMap;

use carawayseam_types::Incarnation;
use carawayseam_wire::{Item, ItemKey, Peer, Topic};

use crate::parts::MAX_PARTS;
use crate::peers::PeerId;
use crate::push::MAX_ITEM_BYTES;

/// Whom a value is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Everyone, also those who join later.
    Everyone,
    /// Entry processes, which find a newer value soon.
    EntryHosts,
    /// The holders of control leases.
    Holders,
}

/// Whom the values of a topic are for.
pub(crate) const fn audience(topic: Topic) -> Audience {
    match topic {
        Topic::Poison | Topic::Stopped | Topic::Holder | Topic::EngineStatus => Audience::Everyone,
        Topic::PoolLoad => Audience::EntryHosts,
        Topic::Evidence | Topic::Confirmed => Audience::Holders,
    }
}

/// The longest value of a topic, with its name, in bytes.
///
/// What is repeated to everyone has to fit into one datagram.
pub(crate) const fn max_value_bytes(topic: Topic) -> usize {
    match audience(topic) {
        Audience::Everyone => MAX_ITEM_BYTES,
        Audience::EntryHosts | Audience::Holders => MAX_ITEM_BYTES * MAX_PARTS / 2,
    }
}

/// Whether the values of a topic are sent whatever they cost.
pub(crate) const fn is_critical(topic: Topic) -> bool {
    matches!(topic, Topic::Poison | Topic::Stopped)
}

/// The newest values known.
#[derive(Debug, Default)]
pub(crate) struct Items {
    items: BTreeMap<ItemKey, Item>,
}

impl Items {
    /// Takes a value if it is newer than the one known.
    pub(crate) fn learn(&mut self, item: &Item) -> bool {
        let known = self.items.get(&item.key).map(precedence);
        if known.is_some_and(|known| known >= precedence(item)) {
            return false;
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    /// Stores an own value under the next number, and gives it back.
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

    /// Moves own values to a new incarnation, so that they beat those of an earlier life.
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

    /// Drops the values whose publisher is not known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&PeerId) -> bool) {
        self.items.retain(|_, item| is_known(&PeerId::publisher(item)));
    }

    pub(crate) fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The value that follows `cursor` in a fixed order, round and round.
    pub(crate) fn next_after(&self, cursor: Option<&ItemKey>) -> Option<&Item> {
        use std::ops::Bound::{Excluded, Unbounded};
        let rest = cursor.and_then(|key| self.items.range((Excluded(key), Unbounded)).next());
        rest.or_else(|| self.items.iter().next()).map(|(_, item)| item)
    }
}

const fn precedence(item: &Item) -> (Incarnation, u64) {
    (item.incarnation, item.seq)
}
