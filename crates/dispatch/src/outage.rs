//! Detects outages of the store, and bounds how long missing entries are kept after one.
//!
//! Entries that expired during an outage are written again shortly after it.

use carawayseam_types::Millis;

/// Time after an outage within which entries that expired during it are written again.
const EXPIRED_ENTRY_GRACE: Millis = Millis(2_200);
/// Time without a response after which a failed call marks the store as unavailable.
const UNAVAILABLE_AFTER: Millis = Millis(1_000);

/// Availability of the store, derived from the results of calls to it.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    answered_at: Millis,
    failed_at: Millis,
    is_unavailable: bool,
    keep_until: Option<Millis>,
}

impl Outage {
    /// Returns the state of a store that is available at `now`.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            answered_at: now,
            failed_at: now,
            is_unavailable: false,
            keep_until: None,
        }
    }

    /// Records a failed call; returns true if the store becomes unavailable.
    pub fn on_failure(&mut self, now: Millis) -> bool {
        self.failed_at = now;
        let has_begun = !self.is_unavailable && now.since(self.answered_at) > UNAVAILABLE_AFTER;
        self.is_unavailable |= has_begun;
        has_begun
    }

    /// Records a response; returns true if the store was unavailable until now.
    ///
    /// The store may have recovered right after the last failed call, and its state is authoritative from
    /// then on. The time for which missing entries are kept therefore counts from that call.
    pub fn on_success(&mut self, now: Millis) -> bool {
        self.answered_at = now;
        let has_ended = std::mem::take(&mut self.is_unavailable);
        if has_ended {
            self.keep_until = Some(self.failed_at + EXPIRED_ENTRY_GRACE);
        }
        has_ended
    }

    /// Records that the store was restored from a copy: entries that the copy lacks are written again.
    pub fn on_restored(&mut self, now: Millis) {
        self.keep_until = self.keep_until.max(Some(now + EXPIRED_ENTRY_GRACE));
    }

    /// Records an update from a peer that follows the store for this host.
    ///
    /// The peer keeps missing entries until `keep_until`. Returns true if the store was unavailable before.
    pub fn on_peer_update(&mut self, now: Millis, keep_until: Option<Millis>) -> bool {
        let has_ended = self.on_success(now);
        self.keep_until = self.keep_until.max(keep_until);
        has_ended
    }

    /// Returns the time until which a missing entry is kept.
    ///
    /// Returns `None` when no outage ended recently: a missing entry is then removed at once.
    #[must_use]
    pub fn keep_until(&self, now: Millis) -> Option<Millis> {
        self.keep_until.filter(|until| now < *until)
    }

    /// Returns the time since the last response.
    #[must_use]
    pub fn idle_time(&self, now: Millis) -> Millis {
        now.since(self.answered_at)
    }
}
