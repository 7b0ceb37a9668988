//! Distributes changes of the store between the hosts.
//!
//! In each availability zone a few hosts follow the store, and the others poll these. A response
//! carries the time since the responder last confirmed that its state was complete. The requester
//! subtracts this age from the time of its request, which gives a lower bound for the time at which
//! the received state was still the newest.

use bytes::Bytes;
use carawayseam_dispatch::history::{ChangesAfter, HistoryPage};
use carawayseam_types::{HostId, Millis, StoreEra, StoreRevision};
use carawayseam_wire::{ItemChunk, PeerMessage, PeerResponse, StoreChange, StoreChangeKind, StoreChanges};
use compact_str::CompactString;

use crate::platform::{Change, Item};
use crate::shared::{Shared, lock};

/// Bounds the wait for the response to one request; a request without a response is sent once more.
pub(super) const REQUEST_TIMEOUT: Millis = Millis(60);
pub(super) const REQUEST_ATTEMPTS: u32 = 2;
/// The largest item that is fetched from a peer.
pub(super) const MAX_ITEM_BYTES: u32 = 16 * 1_024 * 1_024;
/// The total size of the changes in one datagram, and the size of one chunk of an item.
pub(super) const MAX_CHANGES_BYTES: usize = 1_100;
/// The largest value that is sent with its change; each host reads longer values from the store.
const MAX_INLINE_VALUE_BYTES: usize = 700;
/// The encoded size of a change without its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 16;
/// A host whose last confirmation is older than this reports no changes to its peers.
const MAX_CONFIRMATION_AGE: Millis = Millis(2_000);

/// The chunk of an item that a host requests.
#[derive(Debug)]
pub(super) struct ChunkRange {
    pub(super) key: CompactString,
    pub(super) revision: StoreRevision,
    /// The byte offset of the chunk in the item's value.
    pub(super) offset: u32,
}

/// Sends a host the changes of the store after the revision that it requested.
pub(super) fn send(shared: &Shared, host: &HostId, request_id: u64, after: StoreRevision) {
    let response = changes_after(shared, after);
    shared.peers.respond(host, request_id, response);
}

/// Sends a host the chunk of an item that it requested.
pub(super) fn send_chunk(shared: &Shared, host: &HostId, request_id: u64, range: &ChunkRange) {
    let response = PeerResponse::Chunk(read_chunk(shared, range));
    shared.peers.respond(host, request_id, response);
}

fn read_chunk(shared: &Shared, range: &ChunkRange) -> Option<ItemChunk> {
    let value = item_value(shared, range)?;
    let begin = (range.offset as usize).min(value.len());
    let end = (begin + MAX_CHANGES_BYTES).min(value.len());
    Some(ItemChunk {
        total: u32::try_from(value.len()).ok()?,
        bytes: value[begin..end].to_vec(),
    })
}

/// Returns the value of an item at a revision, of the latest state or of the configuration in force.
fn item_value(shared: &Shared, range: &ChunkRange) -> Option<Bytes> {
    let is_wanted = |item: &&Item| item.key == range.key && item.revision == range.revision;
    let history = lock(&shared.store_history);
    let listed = history.items.get(&range.key).filter(is_wanted);
    if let Some(item) = listed {
        return Some(item.value.clone());
    }
    drop(history);
    let in_force = lock(&shared.configuration_item);
    in_force.as_ref().filter(is_wanted).map(|item| item.value.clone())
}

/// Fetches an item from a peer chunk by chunk.
///
/// Returns `None` if the peer does not have the item or does not respond, or if the item is longer than `max_bytes`.
pub(super) async fn fetch_item(
    shared: &Shared,
    peer: &HostId,
    key: &CompactString,
    revision: StoreRevision,
    max_bytes: u32,
) -> Option<Item> {
    let mut value = Vec::new();
    loop {
        let message = |request_id| PeerMessage::ItemChunkRequest {
            host: shared.settings.host.clone(),
            request_id,
            key: key.clone(),
            revision,
            offset: value.len() as u32,
        };
        let response = shared
            .peers
            .request(peer, REQUEST_TIMEOUT, REQUEST_ATTEMPTS, message)
            .await;
        let Some(PeerResponse::Chunk(Some(ItemChunk { total, bytes }))) = response else {
            return None;
        };
        let is_last = value.len() + bytes.len() >= total as usize;
        let is_invalid = bytes.is_empty() || total > max_bytes;
        value.extend(bytes);
        match (is_last, is_invalid) {
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

/// Returns the changes after a revision.
///
/// There are none if this host's state is not confirmed recently enough, if it should come from the store but
/// does not, or if its history does not reach back to that revision.
fn changes_after(shared: &Shared, after: StoreRevision) -> PeerResponse {
    let Some(age) = confirmed_age(shared) else {
        return PeerResponse::Changes(None);
    };
    let history = lock(&shared.store_history);
    let page = match history.changes.after(after, MAX_CHANGES_BYTES, encoded_size) {
        ChangesAfter::Page(page) => page,
        ChangesAfter::NotKept => return PeerResponse::Changes(None),
        ChangesAfter::OtherEra(era) => {
            shared.metrics.count("store_answers", "other-era");
            return PeerResponse::OtherEra(era);
        }
    };
    let HistoryPage {
        end,
        is_complete,
        changes,
    } = page;
    let now = shared.now();
    PeerResponse::Changes(Some(StoreChanges {
        end_revision: end,
        is_complete,
        age,
        removal_grace: history.keep_until.map_or(Millis::ZERO, |until| until.since(now)),
        changes: changes.into_iter().map(to_wire).collect(),
    }))
}

/// Returns the time since this host's state was confirmed, if it may be sent to peers.
pub(super) fn confirmed_age(shared: &Shared) -> Option<Millis> {
    if is_rejected_follower(shared) {
        return None;
    }
    // The age is read before the history: the history can only gain changes in between, so it is
    // complete up to the time of the confirmation.
    shared
        .configuration_age()
        .filter(|age| *age <= MAX_CONFIRMATION_AGE)
}

/// Returns whether this host should follow the store for others, but cannot reach it.
///
/// Such a host knows only what others tell it. If it answered, the hosts that rely on it would
/// confirm each other's state until it is old, rather than ask the store themselves.
fn is_rejected_follower(shared: &Shared) -> bool {
    shared.peers.store_sources().hosts.is_empty() && lock(&shared.reachability).is_store_unavailable
}

pub(super) fn encoded_size(change: &Change) -> usize {
    CHANGE_OVERHEAD_BYTES
        + match change {
            Change::Put(item) if is_large(item) => item.key.len(),
            Change::Put(item) => item.key.len() + item.value.len(),
            Change::Removed { key, .. } => key.len(),
        }
}

fn is_large(item: &Item) -> bool {
    item.value.len() > MAX_INLINE_VALUE_BYTES
}

pub(super) fn to_wire((revision, change): (u64, Change)) -> StoreChange {
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

/// A change received from a peer.
pub(super) enum PeerChange {
    /// The change with its value.
    Full(Change),
    /// The item under this key was written; its value is too long for the datagram and has to be read
    /// from the store.
    Large(CompactString),
}

pub(super) fn from_wire(era: StoreEra, change: StoreChange) -> PeerChange {
    let StoreChange { key, revision, kind } = change;
    let revision = StoreRevision::new(era, revision);
    match kind {
        StoreChangeKind::Put(value) => PeerChange::Full(Change::Put(Item {
            key,
            value: Bytes::from(value),
            revision,
        })),
        StoreChangeKind::Removed => PeerChange::Full(Change::Removed { key, revision }),
        StoreChangeKind::PutLarge => PeerChange::Large(key),
    }
}
