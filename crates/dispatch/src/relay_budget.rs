//! How many connections a host relays for others, in proportion to its own traffic.

use std::collections::VecDeque;

use carawayseam_types::Millis;

/// The time over which bytes are compared.
const WINDOW: Millis = Millis(10_000);
/// The interval between samples.
const SAMPLE_INTERVAL: Millis = Millis(500);
/// Relayed bytes may be up to one in this many of the host's own.
const OWN_PER_RELAYED: u64 = 4;
/// The relayed connections that a host carries whatever its own traffic is.
const MIN_RELAYED: usize = 4;

/// Bytes sent and received since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CarriedBytes {
    /// Those of the host's own callers.
    pub own: u64,
    /// Those of relayed connections.
    pub relayed: u64,
}

/// The bytes carried in the last seconds.
#[derive(Debug, Default)]
pub struct RelayBudget(VecDeque<(Millis, CarriedBytes)>);

impl RelayBudget {
    /// Returns whether another connection may be relayed, if `relayed` are open and `carried` was carried so far.
    pub fn allows(&mut self, now: Millis, carried: CarriedBytes, relayed: usize) -> bool {
        self.record(now, carried);
        let (_, before) = self.0.front().copied().unwrap_or_default();
        let own = carried.own.saturating_sub(before.own);
        let bytes = carried.relayed.saturating_sub(before.relayed);
        relayed < MIN_RELAYED || bytes.saturating_mul(OWN_PER_RELAYED) <= own
    }

    /// Records what was carried so far.
    pub fn record(&mut self, now: Millis, carried: CarriedBytes) {
        let is_due = |(at, _): &(Millis, CarriedBytes)| now.since(*at) >= SAMPLE_INTERVAL;
        if self.0.back().is_none_or(is_due) {
            self.0.push_back((now, carried));
        }
        while self.0.len() > 1 && self.0.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.0.pop_front();
        }
    }
}
