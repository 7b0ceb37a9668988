//! Detects watches on the store that no longer respond.

use carawayseam_types::Millis;

/// Time that a watch may lag behind a read of the newest revision before it counts as unresponsive.
const MAX_LAG: Millis = Millis(500);

/// An input of a [`WatchGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch responded, with changes or with none at its time limit.
    Responded {
        /// The store's revision in the response.
        revision: u64,
    },
    /// A read returned the newest revision among the watched entries.
    Compared {
        /// The newest revision.
        revision: u64,
    },
    /// A peer has a record that the watch has not reported.
    PeerAhead,
    /// Time has passed.
    Tick,
}

/// An output of a [`WatchGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchAction {
    /// Read the newest revision of the watched entries and pass it back as `Compared`.
    Compare,
    /// Close the connection of the watch and reopen the watch on another connection.
    Reopen {
        /// The revision after which changes are requested.
        after: u64,
    },
}

/// Monitors one watch with a bounded rate of store calls.
///
/// A half-open connection looks like a store without changes. The guard
/// therefore limits the time between responses, and periodically compares the
/// revision of the watch with that of the store. A failed comparison is retried
/// at the next period.
#[derive(Debug)]
pub struct WatchGuard {
    max_wait: Millis,
    compare_period: Millis,
    seen_revision: u64,
    last_response_at: Option<Millis>,
    next_compare: Millis,
    behind_since: Option<Millis>,
    is_peer_ahead: bool,
    unresponsive_count: u64,
}

impl WatchGuard {
    /// Creates a guard for a watch that responds within `max_wait`, with a comparison each `compare_period`.
    #[must_use]
    pub const fn new(max_wait: Millis, compare_period: Millis) -> Self {
        Self {
            max_wait,
            compare_period,
            seen_revision: 0,
            last_response_at: None,
            next_compare: Millis::ZERO,
            behind_since: None,
            is_peer_ahead: false,
            unresponsive_count: 0,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: WatchEvent, actions: &mut Vec<WatchAction>) {
        let opened_at = *self.last_response_at.get_or_insert(now);
        match event {
            WatchEvent::Responded { revision } => self.record_response(now, revision),
            WatchEvent::Compared { revision } if revision > self.seen_revision => {
                self.behind_since.get_or_insert(now);
            }
            WatchEvent::Compared { .. } => self.behind_since = None,
            WatchEvent::PeerAhead => self.is_peer_ahead = true,
            WatchEvent::Tick if self.is_unresponsive(now, opened_at) => self.reopen(now, actions),
            WatchEvent::Tick if self.is_compare_due(now) => self.compare(now, actions),
            WatchEvent::Tick => {}
        }
    }

    /// Returns how many times the watch was found unresponsive.
    #[must_use]
    pub const fn unresponsive_count(&self) -> u64 {
        self.unresponsive_count
    }

    fn record_response(&mut self, now: Millis, revision: u64) {
        self.seen_revision = self.seen_revision.max(revision);
        self.last_response_at = Some(now);
        self.behind_since = None;
        self.is_peer_ahead = false;
    }

    fn is_unresponsive(&self, now: Millis, last_response_at: Millis) -> bool {
        let is_overdue = now.since(last_response_at) > self.max_wait + MAX_LAG;
        let is_behind = self.behind_since.is_some_and(|since| now.since(since) >= MAX_LAG);
        is_overdue || is_behind
    }

    /// Returns whether a comparison is due.
    ///
    /// After a peer was seen ahead, half of the period is enough, which bounds the
    /// rate of store calls.
    const fn is_compare_due(&self, now: Millis) -> bool {
        let is_hastened = self.is_peer_ahead && now.0 + self.compare_period.0 / 2 >= self.next_compare.0;
        now.0 >= self.next_compare.0 || is_hastened
    }

    fn compare(&mut self, now: Millis, actions: &mut Vec<WatchAction>) {
        self.next_compare = now + self.compare_period;
        self.is_peer_ahead = false;
        actions.push(WatchAction::Compare);
    }

    fn reopen(&mut self, now: Millis, actions: &mut Vec<WatchAction>) {
        self.unresponsive_count += 1;
        self.last_response_at = Some(now);
        self.behind_since = None;
        actions.push(WatchAction::Reopen {
            after: self.seen_revision,
        });
    }
}
