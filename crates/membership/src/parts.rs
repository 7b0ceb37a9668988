//! Splits values that are too long for one datagram, and reassembles them.

use std::collections::BTreeMap;

use carawayseam_wire::{GossipUpdate, Item, ItemKey, ItemPart};

use crate::push::MAX_ITEM_BYTES;

/// Maximum number of parts of one value.
pub(crate) const MAX_PARTS: usize = 32;
/// Maximum number of incomplete values; parts of further values are dropped.
const MAX_ASSEMBLIES: usize = 1_024;

/// Splits a value into updates that each fit into a datagram.
pub(crate) fn split(item: &Item) -> Vec<GossipUpdate> {
    if item.payload.len() + item.key.name.len() <= MAX_ITEM_BYTES {
        return vec![GossipUpdate::Item(item.clone())];
    }
    let chunks = item.payload.chunks(MAX_ITEM_BYTES - item.key.name.len());
    let count = chunks.len() as u8;
    let part = |(index, payload): (usize, &[u8])| {
        GossipUpdate::Part(ItemPart {
            key: item.key.clone(),
            incarnation: item.incarnation,
            seq: item.seq,
            index: index as u8,
            count,
            payload: payload.to_vec(),
        })
    };
    chunks.enumerate().map(part).collect()
}

#[derive(Debug)]
struct Assembly {
    version: (u64, u64),
    parts: Vec<Option<Vec<u8>>>,
}

/// Incomplete values, for each key only the newest.
#[derive(Debug, Default)]
pub(crate) struct Assemblies {
    values: BTreeMap<ItemKey, Assembly>,
}

impl Assemblies {
    /// Adds a part and returns the value if it is complete now.
    pub(crate) fn add_part(&mut self, part: ItemPart) -> Option<Item> {
        let version = (part.incarnation.0, part.seq);
        let count = usize::from(part.count);
        let is_full = self.values.len() >= MAX_ASSEMBLIES && !self.values.contains_key(&part.key);
        if count > MAX_PARTS || usize::from(part.index) >= count || is_full {
            return None;
        }
        let new_assembly = || Assembly {
            version,
            parts: vec![None; count],
        };
        let assembly = self.values.entry(part.key.clone()).or_insert_with(new_assembly);
        if version > assembly.version {
            *assembly = new_assembly();
        }
        if version != assembly.version || assembly.parts.len() != count {
            return None;
        }
        assembly.parts[usize::from(part.index)] = Some(part.payload);
        if assembly.parts.iter().any(Option::is_none) {
            return None;
        }
        let complete = self.values.remove(&part.key)?;
        Some(Item {
            key: part.key,
            incarnation: part.incarnation,
            seq: part.seq,
            payload: complete.parts.into_iter().flatten().flatten().collect(),
        })
    }
}
