//! Bounds the age of this host's confirmed configuration.
//!
//! A revoked key must stop working at all hosts within a time bound, also at a host that
//! receives no messages. Therefore each host confirms its configuration repeatedly, and
//! serves requests with keys only while the last confirmation is recent enough. The age of
//! a confirmation counts from when the confirming call was sent, by a clock that includes
//! the time during which the machine is suspended.

use carawayseam_types::Millis;

/// The freshness of the configuration that this host uses.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    max_age: Millis,
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Returns the state before the first confirmation.
    #[must_use]
    pub const fn new(max_age: Millis) -> Self {
        Self {
            max_age,
            confirmed_at: None,
        }
    }

    /// Records that the current configuration was the newest at `sent_at` or later.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Sets the maximum age.
    pub const fn set_max_age(&mut self, max_age: Millis) {
        self.max_age = max_age;
    }

    /// Returns the age of the last confirmation; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether requests with keys may be served.
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }
}

/// Which parts of the system a host can reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    /// The store has not answered recently.
    pub is_store_unavailable: bool,
    /// No message from a listed host has arrived recently.
    pub has_unresponsive_peers: bool,
    /// A peer reported that it serves requests with keys.
    pub has_serving_peers: bool,
}

impl Reachability {
    /// Returns whether this host is partitioned, so that other hosts can serve callers sooner.
    ///
    /// An outage of only the store affects all hosts equally; sending callers to other hosts does not help.
    #[must_use]
    pub const fn is_partitioned(self) -> bool {
        self.is_store_unavailable && (self.has_unresponsive_peers || self.has_serving_peers)
    }
}
