//! Finds a watch on the store that went silent.

use carawayseam_types::Millis;

/// How long a watch may lag behind a cheap read before it counts as silent.
const MAX_LAG: Millis = Millis(500);

/// An input of a [`WatchGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch answered, also with nothing at its time limit.
    Answered {
        /// The store's revision in the answer.
        revision: u64,
    },
    /// A cheap read told the newest revision among the watched entries.
    Compared {
        /// That revision.
        revision: u64,
    },
    /// A peer has a record that the watch has not told of.
    PeerAhead,
    /// Time passed.
    Tick,
}

/// An output of a [`WatchGuard`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchAction {
    /// Read the newest revision of the watched entries, and tell it by `Compared`.
    Compare,
    /// Close the connection of the watch, and watch anew on another one.
    Reopen {
        /// Ask for changes past this revision.
        after: u64,
    },
}

/// Guards one watch within a budget of store calls.
///
/// A half-dead connection looks like a store without changes. The guard
/// therefore bounds the wait for an answer, and compares revisions now and
/// then; a failed comparison is simply tried at the next turn.
#[derive(Debug)]
pub struct WatchGuard {
    max_wait: Millis,
    compare_period: Millis,
    seen_revision: u64,
    answered_at: Option<Millis>,
    next_compare: Millis,
    behind_since: Option<Millis>,
    is_peer_ahead: bool,
    unresponsive_count: u64,
}

impl WatchGuard {
    /// Guards a watch that answers within `max_wait`, with a comparison each `compare_period`.
    #[must_use]
    pub const fn new(max_wait: Millis, compare_period: Millis) -> Self {
        Self {
            max_wait,
            compare_period,
            seen_revision: 0,
            answered_at: None,
            next_compare: Millis::ZERO,
            behind_since: None,
            is_peer_ahead: false,
            unresponsive_count: 0,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: WatchEvent, actions: &mut Vec<WatchAction>) {
        let opened_at = *self.answered_at.get_or_insert(now);
        match event {
            WatchEvent::Answered { revision } => self.record_response(now, revision),
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

    /// How often the watch was found silent.
    #[must_use]
    pub const fn unresponsive_count(&self) -> u64 {
        self.unresponsive_count
    }

    fn record_response(&mut self, now: Millis, revision: u64) {
        self.seen_revision = self.seen_revision.max(revision);
        self.answered_at = Some(now);
        self.behind_since = None;
        self.is_peer_ahead = false;
    }

    fn is_unresponsive(&self, now: Millis, answered_at: Millis) -> bool {
        let is_overdue = now.since(answered_at) > self.max_wait + MAX_LAG;
        let is_behind = self.behind_since.is_some_and(|since| now.since(since) >= MAX_LAG);
        is_overdue || is_behind
    }

    /// A peer that is ahead hastens the next comparison, though not beyond the budget.
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
        self.answered_at = Some(now);
        self.behind_since = None;
        actions.push(WatchAction::Reopen {
            after: self.seen_revision,
        });
    }
}
