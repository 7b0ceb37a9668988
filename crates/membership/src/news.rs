//! News that waits to ride on datagrams, each piece a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_wire::{GossipUpdate, ItemKey, RecordKey, encode};

use crate::peers::PeerId;

/// What a piece of news is about; a newer piece replaces it.
///
/// Among pieces sent equally often, those about records go first: a lost zone
/// or a cut makes news of hundreds of peers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NewsKey {
    Head(RecordKey),
    Item(ItemKey),
    Peer(PeerId),
}

impl NewsKey {
    pub(crate) fn of(news: &GossipUpdate) -> Self {
        match news {
            GossipUpdate::Peer(peer) => Self::Peer(PeerId::of(peer)),
            GossipUpdate::Head(head) => Self::Head(head.key.clone()),
            GossipUpdate::Item(item) => Self::Item(item.key.clone()),
            GossipUpdate::Part(part) => Self::Item(part.key.clone()),
        }
    }
}

/// The encoded size of a piece of news.
pub(crate) fn size_of(news: &GossipUpdate) -> usize {
    // The version byte in front stands for nothing here.
    encode(news).map_or(usize::MAX, |buf| buf.len() - 1)
}

/// News being put into one datagram.
#[derive(Debug)]
pub(crate) struct Bundle {
    pub(crate) news: Vec<GossipUpdate>,
    room: usize,
}

impl Bundle {
    pub(crate) const fn new(room: usize) -> Self {
        Self {
            news: Vec::new(),
            room,
        }
    }

    /// Adds a piece if it fits and is not there yet.
    pub(crate) fn add(&mut self, news: &GossipUpdate, size: usize) -> bool {
        if size > self.room || self.news.contains(news) {
            return false;
        }
        self.room -= size;
        self.news.push(news.clone());
        true
    }

    pub(crate) const fn room(&self) -> usize {
        self.room
    }
}

#[derive(Debug)]
struct Queued {
    news: GossipUpdate,
    size: usize,
    sent: u32,
}

/// News by the number of times it was sent.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<NewsKey, Queued>,
    order: BTreeSet<(u32, NewsKey)>,
}

impl Queue {
    /// Queues a piece of news in place of an older one about the same thing.
    pub(crate) fn offer(&mut self, news: GossipUpdate) {
        let key = NewsKey::of(&news);
        let size = size_of(&news);
        let queued = Queued { news, size, sent: 0 };
        if let Some(old) = self.entries.insert(key.clone(), queued) {
            self.order.remove(&(old.sent, key.clone()));
        }
        self.order.insert((0, key));
    }

    /// Fills a bundle, least sent first; a piece sent `limit` times is done.
    pub(crate) fn fill(&mut self, bundle: &mut Bundle, limit: u32) {
        let mut taken = Vec::new();
        for (_, key) in &self.order {
            let Some(queued) = self.entries.get(key) else {
                continue;
            };
            if bundle.add(&queued.news, queued.size) {
                taken.push(key.clone());
            }
            if bundle.room() < SMALLEST_NEWS_BYTES {
                break;
            }
        }
        for key in taken {
            self.count_sent(key, limit);
        }
    }

    fn count_sent(&mut self, key: NewsKey, limit: u32) {
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

/// No piece of news is shorter than this.
const SMALLEST_NEWS_BYTES: usize = 12;
