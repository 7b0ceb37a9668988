//! Happenings in the order of their times; equal times keep the order of their entry.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use carawayseam_types::Millis;

/// The queue of a discrete event loop.
#[derive(Debug)]
pub(crate) struct TimedQueue<T> {
    order: BinaryHeap<Reverse<(Millis, u64)>>,
    entries: BTreeMap<u64, T>,
    next: u64,
}

impl<T> TimedQueue<T> {
    pub(crate) const fn new() -> Self {
        Self {
            order: BinaryHeap::new(),
            entries: BTreeMap::new(),
            next: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Millis, entry: T) {
        self.order.push(Reverse((at, self.next)));
        self.entries.insert(self.next, entry);
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Millis, T)> {
        let Reverse((at, id)) = self.order.pop()?;
        self.entries.remove(&id).map(|entry| (at, entry))
    }
}
