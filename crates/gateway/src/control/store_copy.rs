//! Copies the state of the store from a peer, for a host that the store rejects.
//!
//! The pages of a copy are requested one after the other while the state changes. All changes after the
//! lowest of their revisions are applied afterwards, so the state is complete in the end.

use std::ops::Bound;

use carawayseam_types::{HostId, Millis, StoreRevision};
use carawayseam_wire::{ItemsPage, PeerMessage, PeerResponse};
use compact_str::CompactString;

use super::updates::{self, PeerChange};
use crate::platform::{Change, Item};
use crate::shared::{Shared, lock};

/// All items of the store at a revision.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) revision: StoreRevision,
    /// The time at which the listing was still the latest state.
    pub(super) confirmed_at: Millis,
    pub(super) items: Vec<Item>,
}

/// Sends a host the page of items that it requested.
pub(super) fn send_page(shared: &Shared, host: &HostId, request_id: u64, after: &CompactString) {
    let response = PeerResponse::Items(items_after(shared, after));
    shared.peers.respond(host, request_id, response);
}

fn items_after(shared: &Shared, after: &CompactString) -> Option<ItemsPage> {
    let age = updates::confirmed_age(shared)?;
    let history = lock(&shared.store_history);
    let range = (Bound::Excluded(after.clone()), Bound::Unbounded);
    let mut later = history.items.range(range).map(|(_, item)| item).peekable();
    let mut items = Vec::new();
    let mut bytes = 0;
    while let Some(item) = later.peek() {
        let change = Change::Put((*item).clone());
        bytes += updates::encoded_size(&change);
        if bytes > updates::MAX_CHANGES_BYTES && !items.is_empty() {
            break;
        }
        items.push(updates::to_wire((item.revision.number, change)));
        later.next();
    }
    Some(ItemsPage {
        revision: history.changes.end(),
        age,
        is_last: later.peek().is_none(),
        items,
    })
}

/// Copies the state of a peer; returns `None` if the peer's state is not confirmed recently, or its era changes.
pub(super) async fn copy_from(shared: &Shared, peer: &HostId) -> Option<Listing> {
    let mut listing: Option<Listing> = None;
    loop {
        let items = listing.as_ref().map(|listing| listing.items.as_slice());
        let after = items.and_then(<[Item]>::last).map(|item| item.key.clone());
        let requested_at = shared.now();
        let page = request_page(shared, peer, after.unwrap_or_default()).await?;
        let confirmed_at = requested_at - page.age;
        let is_last = page.is_last;
        let (revision, items) = read_page(shared, peer, page).await?;
        let listing = listing.get_or_insert(Listing {
            revision,
            confirmed_at,
            items: Vec::new(),
        });
        if listing.revision.era != revision.era {
            return None;
        }
        listing.revision = listing.revision.min(revision);
        listing.confirmed_at = listing.confirmed_at.min(confirmed_at);
        listing.items.extend(items);
        if is_last {
            break;
        }
    }
    listing
}

async fn request_page(shared: &Shared, peer: &HostId, after: CompactString) -> Option<ItemsPage> {
    let message = |request_id| PeerMessage::ItemsRequest {
        host: shared.settings.host.clone(),
        request_id,
        after: after.clone(),
    };
    let response = shared
        .peers
        .request(peer, updates::REQUEST_TIMEOUT, updates::REQUEST_ATTEMPTS, message)
        .await;
    match response {
        Some(PeerResponse::Items(page)) => page,
        _ => None,
    }
}

/// Reads the items of a page, and fetches those that do not fit it.
async fn read_page(shared: &Shared, peer: &HostId, page: ItemsPage) -> Option<(StoreRevision, Vec<Item>)> {
    let mut items = Vec::new();
    for change in page.items {
        let revision = StoreRevision::new(page.revision.era, change.revision);
        match updates::from_wire(page.revision.era, change) {
            PeerChange::Full(Change::Put(item)) => items.push(item),
            PeerChange::Full(Change::Removed { .. }) => {}
            PeerChange::Large(key) => {
                items.push(updates::fetch_item(shared, peer, &key, revision, updates::MAX_ITEM_BYTES).await?);
            }
        }
    }
    Some((page.revision, items))
}
