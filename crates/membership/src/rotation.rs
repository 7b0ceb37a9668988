//! Repeats all known state in turn, so that lost updates are eventually recovered.

use std::collections::VecDeque;

use carawayseam_wire::{GossipUpdate, ItemKey, PeerState, RecordKey};

use crate::items::{Audience, Items, audience};
use crate::limits::MAX_ROTATION_BYTES;
use crate::peers::{PeerId, Peers};
use crate::records::Records;
use crate::updates::{Bundle, encoded_size};

/// Maximum number of recently changed heads, which are repeated more often.
const RECENT_HEADS: usize = 32;

/// The positions of the rotation in peers, heads and items.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    peer: Option<PeerId>,
    head: Option<RecordKey>,
    item: Option<ItemKey>,
    recent: VecDeque<RecordKey>,
}

impl Rotation {
    /// Records that a head has changed.
    pub(crate) fn mark_changed(&mut self, key: &RecordKey) {
        self.recent.retain(|known| known != key);
        self.recent.push_back(key.clone());
        if self.recent.len() > RECENT_HEADS {
            self.recent.pop_front();
        }
    }

    /// Adds the next updates to a bundle, up to [`MAX_ROTATION_BYTES`].
    pub(crate) fn fill(&mut self, bundle: &mut Bundle, peers: &Peers, records: &Records, items: &Items) {
        let floor = bundle.remaining().saturating_sub(MAX_ROTATION_BYTES);
        let updates = [
            self.next_recent(records),
            self.next_head(records),
            self.next_item(items),
            self.next_peer(peers),
        ];
        for update in updates.into_iter().flatten() {
            let size = encoded_size(&update);
            if bundle.remaining().saturating_sub(size) >= floor {
                bundle.add(&update, size);
            }
        }
    }

    fn next_recent(&mut self, records: &Records) -> Option<GossipUpdate> {
        let key = self.recent.pop_front()?;
        let head = records
            .get(&key)
            .map(|record| GossipUpdate::Head(record.head.clone()));
        self.recent.push_back(key);
        head
    }

    fn next_head(&mut self, records: &Records) -> Option<GossipUpdate> {
        let head = records.next_after(self.head.as_ref())?;
        self.head = Some(head.key.clone());
        Some(GossipUpdate::Head(head.clone()))
    }

    fn next_item(&mut self, items: &Items) -> Option<GossipUpdate> {
        let item = items.next_after(self.item.as_ref())?;
        self.item = Some(item.key.clone());
        let is_for_everyone = audience(item.key.topic) == Audience::Everyone;
        is_for_everyone.then(|| GossipUpdate::Item(item.clone()))
    }

    fn next_peer(&mut self, peers: &Peers) -> Option<GossipUpdate> {
        let peer = peers.next_after(self.peer.as_ref())?;
        self.peer = Some(PeerId::of(peer));
        (peer.state != PeerState::Dead).then(|| GossipUpdate::Peer(peer.clone()))
    }
}
