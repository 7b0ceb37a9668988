//! Changes of the store, as hosts tell them each other.
//!
//! In each availability zone a few hosts follow the store, and the others ask these. An answer
//! carries the age of the proof that it is complete, so that a host which is told something knows
//! how fresh it is: the proof is at least as young as the ask plus that age.

use bytes::Bytes;
use carawayseam_dispatch::history::Piece;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{ItemChunk, PeerMessage, PeerResponse, StoreChange, StoreChangeKind, StoreChanges};
use compact_str::CompactString;

use crate::platform::{Change, Item};
use crate::shared::{Shared, lock};

/// A host that does not answer within this time is asked once more.
pub(super) const ASK_LIMIT: Millis = Millis(60);
pub(super) const ASKS: u32 = 2;
/// The largest item that is fetched from a peer, in bytes.
const MOST_ITEM_BYTES: u32 = 16 * 1_024 * 1_024;
/// Changes told in one datagram, in bytes.
const MOST_BYTES: usize = 1_100;
/// A value that is longer than this is read from the store by each host, in bytes.
const MOST_VALUE_BYTES: usize = 700;
/// What a change takes beside its key and value, in bytes.
const CHANGE_BYTES: usize = 16;
/// A host whose own proof is older tells nothing.
const MOST_AGE: Millis = Millis(2_000);

/// A piece of an item that a host asks for.
#[derive(Debug)]
pub(super) struct WantedPiece {
    pub(super) key: CompactString,
    pub(super) revision: u64,
    /// Where it begins, in bytes.
    pub(super) offset: u32,
}

/// Tells a host what it asked of the store.
pub(super) fn answer(shared: &Shared, host: &HostId, ask: u64, after: u64) {
    let answer = PeerResponse::Changes(news(shared, after));
    shared.peers.send(
        host,
        &PeerMessage::Response {
            request_id: ask,
            response: answer,
        },
    );
}

/// Tells a host a piece of an item that it asked for.
pub(super) fn answer_piece(shared: &Shared, host: &HostId, ask: u64, wanted: &WantedPiece) {
    let answer = PeerResponse::Chunk(piece(shared, wanted));
    shared.peers.send(
        host,
        &PeerMessage::Response {
            request_id: ask,
            response: answer,
        },
    );
}

fn piece(shared: &Shared, wanted: &WantedPiece) -> Option<ItemChunk> {
    let history = lock(&shared.store_history);
    let mut changes = history.changes.at(wanted.revision);
    let value = changes.find_map(|change| match change {
        Change::Put(item) if item.key == wanted.key => Some(item.value.clone()),
        _ => None,
    })?;
    let begin = (wanted.offset as usize).min(value.len());
    let end = (begin + MOST_BYTES).min(value.len());
    Some(ItemChunk {
        total: u32::try_from(value.len()).ok()?,
        bytes: value[begin..end].to_vec(),
    })
}

/// Fetches an item piece by piece; none if the host does not have it or does not answer.
pub(super) async fn fetch(
    shared: &Shared,
    peer: &HostId,
    key: &CompactString,
    revision: u64,
) -> Option<Item> {
    let mut value = Vec::new();
    loop {
        let message = |ask| PeerMessage::ItemChunkRequest {
            host: shared.settings.host.clone(),
            request_id: ask,
            key: key.clone(),
            revision,
            offset: value.len() as u32,
        };
        let answer = shared.peers.request(peer, ASK_LIMIT, ASKS, message).await;
        let Some(PeerResponse::Chunk(Some(ItemChunk { total, bytes }))) = answer else {
            return None;
        };
        let is_last = value.len() + bytes.len() >= total as usize;
        let is_stuck = bytes.is_empty() || total > MOST_ITEM_BYTES;
        value.extend(bytes);
        match (is_last, is_stuck) {
            (true, _) => break,
            (false, true) => return None,
            (false, false) => {}
        }
    }
    Some(Item {
        key: key.clone(),
        value: Bytes::from(value),
        revision,
    })
}

fn news(shared: &Shared, after: u64) -> Option<StoreChanges> {
    // The proof is read first: what is known later than it is complete for it, too.
    let age = shared.configuration_age().filter(|age| *age <= MOST_AGE)?;
    let history = lock(&shared.store_history);
    let Piece {
        end,
        is_whole,
        changes,
    } = history.changes.after(after, MOST_BYTES, size)?;
    let now = shared.now();
    Some(StoreChanges {
        end_revision: end,
        is_complete: is_whole,
        age,
        removal_grace: history.keep_until.map_or(Millis::ZERO, |until| until.since(now)),
        changes: changes.into_iter().map(told).collect(),
    })
}

fn size(change: &Change) -> usize {
    CHANGE_BYTES
        + match change {
            Change::Put(item) if is_large(item) => item.key.len(),
            Change::Put(item) => item.key.len() + item.value.len(),
            Change::Removed { key, .. } => key.len(),
        }
}

fn is_large(item: &Item) -> bool {
    item.value.len() > MOST_VALUE_BYTES
}

fn told((revision, change): (u64, Change)) -> StoreChange {
    match change {
        Change::Put(item) => StoreChange {
            kind: if is_large(&item) {
                StoreChangeKind::PutLarge
            } else {
                StoreChangeKind::Put(item.value.to_vec())
            },
            key: item.key,
            revision,
        },
        Change::Removed { key, .. } => StoreChange {
            key,
            revision,
            kind: StoreChangeKind::Removed,
        },
    }
}

/// A change as a peer told it.
pub(super) enum Heard {
    /// All of it.
    Whole(Change),
    /// The item under this key was written, and has to be read from the store.
    Large(CompactString),
}

pub(super) fn heard(told: StoreChange) -> Heard {
    let StoreChange { key, revision, kind } = told;
    match kind {
        StoreChangeKind::Put(value) => Heard::Whole(Change::Put(Item {
            key,
            value: Bytes::from(value),
            revision,
        })),
        StoreChangeKind::Removed => Heard::Whole(Change::Removed { key, revision }),
        StoreChangeKind::PutLarge => Heard::Large(key),
    }
}
