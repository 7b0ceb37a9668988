//! How old this host's knowledge of the configuration may be.
//!
//! A key that was taken away must stop working everywhere within a bound, also at a
//! host that hears nothing. So each host proves its knowledge again and again, and
//! serves requests with keys only while the last proof is young. The proof's age
//! counts from the sending of the call that confirmed it, by a clock that counts
//! suspension.

use carawayseam_types::Millis;

/// The age of what is known.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    max_age: Millis,
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Nothing is confirmed yet.
    #[must_use]
    pub const fn new(max_age: Millis) -> Self {
        Self {
            max_age,
            confirmed_at: None,
        }
    }

    /// Notes that the configuration known now was the newest at `sent_at` or later.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Changes the bound.
    pub const fn set_max_age(&mut self, max_age: Millis) {
        self.max_age = max_age;
    }

    /// The age of the last proof; nothing before the first.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether requests with keys may be passed on.
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }
}

/// What a host reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    /// The store did not answer lately.
    pub is_store_unavailable: bool,
    /// A host that is listed was not heard lately.
    pub has_unresponsive_peers: bool,
    /// A peer said that it serves requests with keys.
    pub has_serving_peers: bool,
}

impl Reachability {
    /// Whether others can serve callers better than this host soon can.
    ///
    /// An outage of the store alone hits all hosts alike, and sending callers elsewhere helps nobody.
    #[must_use]
    pub const fn is_partitioned(self) -> bool {
        self.is_store_unavailable && (self.has_unresponsive_peers || self.has_serving_peers)
    }
}
