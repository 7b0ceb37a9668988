//! Bounds what a process sends, whatever the number of its peers and of their failures.

use carawayseam_types::Millis;

use crate::limits::PACKET_OVERHEAD_BYTES;

const MILLIS_PER_SECOND: i64 = 1_000;

/// The datagrams and bytes that a process may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendLimit {
    /// Datagrams a second.
    pub datagrams_per_second: u32,
    /// Bytes a second, with the headers of the datagrams.
    pub bytes_per_second: u32,
    /// The time whose datagrams and bytes may be sent at once.
    pub burst: Millis,
}

/// A budget that refills with time. It is kept in thousandths, so that short steps are not rounded away.
#[derive(Debug)]
pub(crate) struct SendBudget {
    limit: Option<SendLimit>,
    /// Negative after acks that the budget did not cover; probes and other datagrams wait until these are made up for.
    milli_datagrams: i64,
    milli_bytes: i64,
}

impl SendBudget {
    /// Returns a full budget; without a limit, it covers everything.
    pub(crate) fn full(limit: Option<SendLimit>) -> Self {
        let mut budget = Self {
            limit,
            milli_datagrams: 0,
            milli_bytes: 0,
        };
        if let Some(limit) = limit {
            budget.refill(limit.burst);
        }
        budget
    }

    pub(crate) fn refill(&mut self, step: Millis) {
        if let Some(limit) = self.limit {
            let add = |current: i64, rate| (current + rate_in(rate, step)).min(rate_in(rate, limit.burst));
            self.milli_datagrams = add(self.milli_datagrams, limit.datagrams_per_second);
            self.milli_bytes = add(self.milli_bytes, limit.bytes_per_second);
        }
    }

    /// Returns whether one more datagram may be sent that is not an ack.
    pub(crate) const fn covers_datagram(&self) -> bool {
        self.limit.is_none() || (self.milli_datagrams >= MILLIS_PER_SECOND && self.milli_bytes > 0)
    }

    /// Returns how many bytes the next datagram may have without its headers.
    pub(crate) fn remaining_bytes(&self) -> usize {
        if self.limit.is_none() {
            return usize::MAX;
        }
        let bytes = usize::try_from(self.milli_bytes / MILLIS_PER_SECOND).unwrap_or(0);
        bytes.saturating_sub(PACKET_OVERHEAD_BYTES)
    }

    /// Takes a datagram of `bytes` bytes from the budget.
    pub(crate) fn spend(&mut self, bytes: usize) {
        if let Some(limit) = self.limit {
            let bytes = (bytes + PACKET_OVERHEAD_BYTES) as i64;
            // The debt is bounded, so that a host that answered many probes soon sends its own again.
            let take = |current: i64, cost: i64, rate| {
                (current - cost * MILLIS_PER_SECOND).max(-rate_in(rate, limit.burst))
            };
            self.milli_datagrams = take(self.milli_datagrams, 1, limit.datagrams_per_second);
            self.milli_bytes = take(self.milli_bytes, bytes, limit.bytes_per_second);
        }
    }
}

/// Returns the thousandths that are earned in a span.
fn rate_in(rate: u32, span: Millis) -> i64 {
    let span = u32::try_from(span.0).unwrap_or(u32::MAX);
    // Half of the range, so that no sum of two overflows.
    i64::from(rate).saturating_mul(i64::from(span)).min(i64::MAX / 2)
}
